/// @file A speed in coarse steps, for the log.
#pragma once

#include <cmath>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// Steps of a factor of the square root of two; 0 is the usual speed. Deterministic.
class SpeedStep {
 public:
  /// Whether the speed has come to another step, to be logged: a speed near the border of two does
  /// not go to and fro, and an engine has one line in a while.
  bool moved(double speed, net::TimePoint now) {
    const double steps = kStepsPerDoubling * std::log2(speed);
    if (std::abs(steps - value_) < kLeastMove || now < logged_at_ + kPause) return false;
    value_ = static_cast<int>(std::lround(steps));
    logged_at_ = now;
    return true;
  }
  int value() const { return value_; }

 private:
  static constexpr double kStepsPerDoubling = 2;
  /// More than half a step, so that the border lies elsewhere on the way back.
  static constexpr double kLeastMove = 0.75;
  /// 60 engines that all change write some 30 lines a second.
  static constexpr net::Millis kPause{2000};

  int value_ = 0;
  net::TimePoint logged_at_{};
};

}  // namespace sailgate::balancing
