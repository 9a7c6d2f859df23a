/// @file Estimates how long callers wait for the first event of a stream before they disconnect.
#pragma once

#include <array>
#include <cstddef>

#include "net/asio.hpp"

namespace sailgate::serving {

/// Callers may disconnect long before their deadline. Holding a turn until after most callers have
/// disconnected wastes the wait, so holds are limited to what callers tolerate.
///
/// The survival function of the waiting time is a Kaplan-Meier estimate: a wait that ended for
/// another reason than the caller's disconnecting is a censored observation. Observations decay
/// exponentially. Deterministic, not thread-safe.
class CallerWaitEstimator {
 public:
  /// Records a wait without an event. @param left whether it ended because the caller disconnected.
  void record(net::Millis waited, bool left, net::TimePoint now);
  /// Longest wait that at least 75 % of callers tolerate; kMaxWait if few callers disconnect.
  net::Millis max_wait(net::TimePoint now);

  static constexpr net::Millis kMaxWait{10'000};

 private:
  static constexpr net::Millis kStep{100};
  static constexpr std::size_t kSteps = 50;  ///< longer waits are counted in the last step
  /// Short, so that a burst of impatient callers does not shorten holds for long.
  static constexpr net::Millis kHalfLife{5000};
  static constexpr double kStayingShare = 0.75;
  /// Minimum (decayed) number of disconnects on which an estimate is based.
  static constexpr double kMinDepartures = 1.5;

  struct WaitCounts {
    double left = 0;
    double stayed = 0;  ///< the wait ended for another reason
  };
  void decay(net::TimePoint now);

  std::array<WaitCounts, kSteps> waits_{};
  net::TimePoint decayed_at_{};
};

}  // namespace sailgate::serving
