/// @file Engine and application engine for simulation, with late and crossed answers.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "api/call_flow.hpp"
#include "base/random.hpp"
#include "program/due_work.hpp"
#include "scheduling/backend_directory.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/oracle.hpp"

namespace sailgate::simulation {

/// What a gateway sends to a back end.
struct DispatchedCall {
  std::string program;
  std::int32_t sequence = 0;
  std::string request_key;
  std::int64_t attempt = 0;
  std::int64_t token_ceiling = 0;
};

/// One back end. Not thread-safe.
class SimulatedBackend {
 public:
  using Reply = std::function<void(const api::DispatchResult&)>;

  SimulatedBackend(EventQueue& events, Oracle& oracle, scheduling::Backend description,
                   std::uint64_t seed);

  void dispatch(const DispatchedCall& call, const Reply& reply);
  /// Drops the program's cache and whatever still runs for it.
  void evict(const std::string& program);
  void cancel(std::int64_t attempt);
  /// Tells what became of an attempt; one that never came will be refused from now on.
  program::InquiryAnswer inquire(const program::OutcomeInquiry& inquiry);

  /// From now on new work is refused after `tolerance`, and the oracle watches.
  void leave(base::Millis tolerance);
  bool leaving() const { return leaving_; }
  /// While on, answers are late and may be delivered to the wrong request.
  void disturb(bool on) { disturbed_ = on; }

  const scheduling::Backend& description() const { return description_; }
  const std::set<std::string>& cached_programs() const { return cached_; }

 private:
  void finish(const DispatchedCall& call, const Reply& reply);
  bool is_engine() const { return description_.kind == wire::TargetKind::kEngine; }

  EventQueue& events_;
  Oracle& oracle_;
  scheduling::Backend description_;
  base::Random random_;
  bool leaving_ = false;
  bool disturbed_ = false;
  std::set<std::string> cached_;
  std::set<std::string> evicted_;
  std::set<std::int64_t> cancelled_;
  std::set<std::int64_t> fenced_;                ///< attempts that must not run any more
  std::map<std::string, std::string> running_;   ///< request key -> program
  std::map<std::string, std::string> finished_;  ///< request key -> result
  std::optional<api::DispatchResult> stray_;     ///< an answer that waits to be crossed
};

}  // namespace sailgate::simulation
