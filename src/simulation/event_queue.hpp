/// @file Virtual time: events in order of time, then of insertion.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/time.hpp"

namespace sailgate::simulation {

/// Single-threaded discrete-event clock. The same insertions give the same run.
class EventQueue {
 public:
  using Action = std::function<void()>;

  base::Millis now() const { return now_; }

  /// Runs `action` after `delay` milliseconds of virtual time.
  void after(base::Millis delay, Action action) {
    events_.push(Event{now_ + delay, next_sequence_++, std::move(action)});
  }

  /// Runs all events up to and including time `until`.
  void run_until(base::Millis until) {
    while (!events_.empty() && events_.top().due <= until) {
      // NOTE: the action is moved out first, because it may insert events.
      auto event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.due;
      event.action();
    }
    now_ = until;
  }

 private:
  struct Event {
    base::Millis due = 0;
    std::uint64_t sequence = 0;
    Action action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.due != right.due ? left.due > right.due : left.sequence > right.sequence;
    }
  };

  base::Millis now_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace sailgate::simulation
