/// @file How long callers wait for a first event before they leave.
#pragma once

#include <array>
#include <cstddef>

#include "net/asio.hpp"

namespace sailgate::serving {

/// Answers callers that leave long before their deadline: a turn that is held until after most have
/// left is held for nothing. Learned from waits that ended, with and without the caller's leaving
/// (share that stays, by Kaplan and Meier); old ones decay. Deterministic, not thread-safe.
class CallerWaitEstimator {
 public:
  /// A caller waited so long without an event. @param left it closed its connection then.
  void record(net::Millis waited, bool left, net::TimePoint now);
  /// Longest wait that at least three callers of four outstay; kMaxWait where few leave.
  net::Millis max_wait(net::TimePoint now);

  static constexpr net::Millis kMaxWait{10'000};

 private:
  static constexpr net::Millis kStep{100};
  static constexpr std::size_t kSteps = 50;  ///< longer waits count as the last step
  /// What was seen counts half after this time: bursts of impatient callers pass.
  static constexpr net::Millis kHalfLife{5000};
  static constexpr double kStayingShare = 0.75;
  /// So many must have left before anything is concluded.
  static constexpr double kMinDepartures = 1.5;

  struct WaitCounts {
    double left = 0;
    double stayed = 0;  ///< their wait ended otherwise
  };
  void decay(net::TimePoint now);

  std::array<WaitCounts, kSteps> waits_{};
  net::TimePoint decayed_at_{};
};

}  // namespace sailgate::serving
