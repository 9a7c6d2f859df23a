/// @file Detects that this process was stalled.
#pragma once

#include <algorithm>

#include "net/asio.hpp"

namespace sailgate::cluster {

/// A process that was suspended or starved of CPU resumes with outdated state. Code that decides on
/// data reported by other nodes uses this class to find out how long ago the process resumed. Not
/// thread-safe.
class StallDetector {
 public:
  /// @param started_at the start counts as the end of a stall, since nothing is known yet either.
  explicit StallDetector(net::TimePoint started_at)
      : ticked_at_(started_at), resumed_at_(started_at) {}

  /// Must be called regularly and before each query. @param longest_gap longest time between two
  /// ticks in a process that is not stalled.
  void tick(net::TimePoint now, net::Millis longest_gap) {
    if (stalled(now, longest_gap)) resumed_at_ = now;
    ticked_at_ = std::max(ticked_at_, now);
  }
  /// Whether the time since the last tick exceeds `longest_gap`.
  bool stalled(net::TimePoint now, net::Millis longest_gap) const {
    return now - ticked_at_ > longest_gap;
  }
  net::TimePoint ticked_at() const { return ticked_at_; }
  net::TimePoint resumed_at() const { return resumed_at_; }
  bool resumed_within(net::Millis span, net::TimePoint now) const {
    return now < resumed_at_ + span;
  }

 private:
  net::TimePoint ticked_at_;
  net::TimePoint resumed_at_;
};

}  // namespace sailgate::cluster
