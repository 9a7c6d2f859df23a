/// @file Quantized engine speed for logging.
#pragma once

#include <cmath>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// Quantizes a speed to steps of a factor of sqrt(2), with hysteresis; 0 is normal speed.
/// Deterministic.
class SpeedStep {
 public:
  /// Whether the speed has reached another step and should be logged. Hysteresis avoids repeated
  /// messages for a speed near a boundary, and each engine is logged at most once per interval.
  bool should_log(double speed, net::TimePoint now) {
    const double steps = kStepsPerDoubling * std::log2(speed);
    if (std::abs(steps - value_) < kMinChange || now < logged_at_ + kMinLogInterval) return false;
    value_ = static_cast<int>(std::lround(steps));
    logged_at_ = now;
    return true;
  }
  int value() const { return value_; }

 private:
  static constexpr double kStepsPerDoubling = 2;
  /// More than half a step, so that the thresholds differ by direction.
  static constexpr double kMinChange = 0.75;
  /// With this interval, 60 engines that change all the time write about 30 lines per second.
  static constexpr net::Millis kMinLogInterval{2000};

  int value_ = 0;
  net::TimePoint logged_at_{};
};

}  // namespace sailgate::balancing
