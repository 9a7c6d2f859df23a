/// @file What a leader owes besides answering: evictions, overdue attempts, unknown outcomes.
///
/// A new leader starts its clocks when it first sees an obligation; that delays, never hastens.
#pragma once

#include <map>
#include <string>

#include "base/knobs.hpp"
#include "membership/membership.hpp"
#include "node/core/node_actions.hpp"
#include "node/core/slot_replica.hpp"

namespace sailgate::node {

/// Obligations of the slots one node leads. Not thread-safe.
class Obligations {
 public:
  Obligations(const base::Knobs& knobs, const membership::Membership& membership)
      : knobs_(knobs), membership_(membership) {}

  /// Scans one led slot; call every Knobs::obligation_interval.
  void scan(SlotReplica& replica, base::Millis now, NodeActions& actions);
  /// An engine confirmed that it holds nothing of the program.
  static void on_evicted(SlotReplica& replica, const EvictionOrder& order);
  /// An application engine told what became of an attempt.
  static void on_inquiry_answer(SlotReplica& replica, const InquiryAnswer& answer);
  /// Forgets times kept for a slot that is no longer led.
  void forget(std::int32_t slot) { slots_.erase(slot); }

 private:
  /// When something about a program was first seen or last done.
  struct Times {
    std::int64_t attempt = 0;
    base::Millis attempt_seen_at = 0;
    base::Millis waiting_since = -1;
    base::Millis last_order_at = -1;
    base::Millis last_change_at = 0;
    std::size_t calls = 0;
    wire::CallPhase::type phase = wire::CallPhase::kDone;
  };

  void scan_program(SlotReplica& replica, const wire::ProgramRecord& record, Times& times,
                    base::Millis now, NodeActions& actions);
  void scan_attempt(SlotReplica& replica, const wire::ProgramRecord& record,
                    const wire::CallRecord& call, Times& times, base::Millis now,
                    NodeActions& actions);
  void end_idle(SlotReplica& replica, const wire::ProgramRecord& record, Times& times,
                base::Millis now) const;

  const base::Knobs& knobs_;
  const membership::Membership& membership_;
  std::map<std::int32_t, std::map<std::string, Times>> slots_;
};

}  // namespace sailgate::node
