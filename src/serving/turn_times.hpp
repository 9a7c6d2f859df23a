/// @file How long turns take lately, as this node sees it.
#pragma once

#include <cmath>

#include "net/asio.hpp"

namespace sailgate::serving {

/// Smoothed mean and deviation. Deterministic, not thread-safe.
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
  /// Time in which most turns are through; a presumed one before the first was seen.
  net::Millis upper_estimate() const {
    if (count_ == 0) return kInitialEstimate;
    return net::Millis(std::llround(mean_ms_ + kDeviations * deviation_ms_));
  }

 private:
  static constexpr int kWarmupSamples = 8;  ///< averaged evenly, before old ones fade
  static constexpr double kGain = 1.0 / kWarmupSamples;
  static constexpr double kDeviations = 2;             ///< holds about nine turns of ten
  static constexpr net::Millis kInitialEstimate{300};  ///< a short answer of a model

  int count_ = 0;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;
};

}  // namespace sailgate::serving
