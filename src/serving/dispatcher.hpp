/// @file Sends a request to one engine after another until one of them responds.
#pragma once

#include <memory>
#include <optional>

#include "serving/call.hpp"
#include "serving/loss_reporter.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

enum class DispatchFailure {
  kNone,
  kNoEngine,        ///< no usable engine was left; the request has not run
  kRefused,         ///< every engine tried reported that it did not run the request
  kOutcomeUnknown,  ///< an engine may have run the request
  kTimedOut,        ///< the deadline expired
  kQuarantined,     ///< engines ended under the request; no further one gets it
  kUnsettled,       ///< engines may have ended under the request; see Call::settles_at
  kCallerGone,
};

struct DispatchResult {
  DispatchFailure failure = DispatchFailure::kNone;
  std::unique_ptr<EngineExchange> exchange;  ///< response head already read; nullptr on failure
};

/// Tries engines one at a time. A request that may have run is sent again only if it is repeatable.
class Dispatcher {
 public:
  explicit Dispatcher(NodeState& state) : state_(state), losses_(state) {}

  /// @param repeatable whether the request may run more than once.
  /// @param body request body for the engine; replaces the caller's body.
  /// @param last_event_id event after which a stream resumes; empty if no event was received yet.
  net::asio::awaitable<DispatchResult> dispatch(Call& call, const std::string& body,
                                                bool repeatable, std::string last_event_id);

 private:
  /// Outcome of sending the request to one engine.
  enum class OfferOutcome { kAnswered, kRefused, kNotSent, kBroken, kTimedOut, kAborted };
  struct Offer {
    OfferOutcome end = OfferOutcome::kBroken;
    std::unique_ptr<EngineExchange> exchange;
  };

  net::asio::awaitable<Offer> offer(Call& call, balancing::EnginePointer engine,
                                    const std::string& body, std::string last_event_id);
  net::asio::awaitable<void> finish_refusal(EngineExchange& exchange);
  static std::optional<DispatchFailure> stop_reason(const Call& call);
  /// Why the request may not go to an engine; see LossReporter::may_send().
  DispatchFailure reason_not_to_send(Call& call);
  void log_broken_exchange(const Call& call, EngineExchange& exchange, OpenOutcome outcome);
  std::shared_ptr<const net::TextRequest> engine_request(const Call& call,
                                                         const balancing::Engine& engine,
                                                         const std::string& body,
                                                         const std::string& last_event_id) const;
  balancing::EnginePointer select(Call& call);
  /// Engines that hold the shared prefix of a long prompt; nullptr if the prompt is short or has no
  /// shared prefix, or if placement is disabled or not available for the service.
  const balancing::PromptReplicas* prompt_replicas(const Call& call);
  /// Engine that the attempt must continue on, or nullptr if it is no longer usable or no longer
  /// has the required software version; see AttemptBound.
  balancing::EnginePointer required_engine(const Call& call, const std::string& id);
  /// Updates the set of engines that may still be working on the attempt.
  void update_attempt_bound(Call& call, EngineExchange& exchange, OfferOutcome end);
  void record_refusal(EngineExchange& exchange);
  void log_offer(const Call& call, const EngineExchange& exchange, const char* outcome);

  NodeState& state_;
  LossReporter losses_;
};

/// Maps a failure to read the rest of a response to the outcome of the call.
DispatchFailure to_dispatch_failure(ReadOutcome outcome);

/// Logs that a response ended prematurely after its head.
/// @param bytes received of the body.
void log_broken_response(NodeState& state, const Call& call, const EngineExchange& exchange,
                         std::size_t bytes);

/// Reads the rest of a response. @return kBroken also if it was given up to bound the memory.
net::asio::awaitable<ReadOutcome> read_body(NodeState& state, EngineExchange& exchange,
                                            ResponseMemory::Share& memory, std::string& body);

/// Accounts for bytes of a response that are held. @return false: the response is given up, which
/// is logged.
bool hold_bytes(NodeState& state, const EngineExchange& exchange, ResponseMemory::Share& memory,
                std::size_t bytes);

/// Records that an exchange broke after the request was sent. After a connection reset the engine
/// may still be working on the attempt; after any other error it is not.
void record_broken_attempt(NodeState& state, Call& call, const EngineExchange& exchange);

/// Records a failure of an engine, which is then avoided for a back-off period.
void record_engine_failure(NodeState& state, balancing::Engine& engine, const char* what);

/// Whether a response status indicates a fault of the engine.
bool is_engine_failure(unsigned status);

bool is_success(unsigned status);

/// Records a complete response as a success or a failure of the engine, depending on its status.
void record_engine_response(NodeState& state, balancing::Engine& engine, unsigned status);

/// Records a success of an engine and ends its back-off.
void record_engine_success(balancing::Engine& engine);

}  // namespace sailgate::serving
