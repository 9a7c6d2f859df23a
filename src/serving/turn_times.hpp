/// @file Estimates the duration of recent turns on this node.
#pragma once

#include <cmath>

#include "net/asio.hpp"

namespace sailgate::serving {

/// Exponentially smoothed mean and mean absolute deviation. Deterministic, not thread-safe.
class TurnDurationEstimator {
 public:
  void observe(net::Millis took) {
    const auto sample = static_cast<double>(took.count());
    if (count_ == 0) mean_ms_ = sample;
    const double gain = count_ < kWarmupSamples ? 1.0 / (1 + count_) : kGain;
    if (count_ < kWarmupSamples) ++count_;
    deviation_ms_ += gain * (std::abs(sample - mean_ms_) - deviation_ms_);
    mean_ms_ += gain * (sample - mean_ms_);
  }
  /// Duration that about nine of ten turns stay within; a default before the first observation.
  net::Millis upper_estimate() const { return upper_estimate(kDeviations); }
  /// @param deviations above the mean.
  net::Millis upper_estimate(double deviations) const {
    if (count_ == 0) return kInitialEstimate;
    return net::Millis(std::llround(mean_ms_ + deviations * deviation_ms_));
  }

 private:
  static constexpr int kWarmupSamples = 8;  ///< plain average up to here, then exponential
  static constexpr double kGain = 1.0 / kWarmupSamples;
  static constexpr double kDeviations = 2;             ///< covers about nine of ten turns
  static constexpr net::Millis kInitialEstimate{300};  ///< duration of a short model response

  int count_ = 0;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;
};

}  // namespace sailgate::serving
