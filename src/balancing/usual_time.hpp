/// @file Running median of exchange times.
#pragma once

#include <algorithm>
#include <cmath>

namespace sailgate::balancing {

/// Running median of durations. Each sample moves the estimate by a bounded step on the logarithmic
/// scale, so that a few hanging exchanges do not change it. Deterministic, not thread-safe.
class RunningMedian {
 public:
  /// @param milliseconds values that are not positive are ignored.
  void add(double milliseconds) {
    if (!(milliseconds > 0)) return;
    const double sample = std::log(milliseconds);
    if (samples_ == 0) {
      log_ = sample;
    } else {
      const double step = std::max(1.0 / (samples_ + 1), kMinStep);
      log_ += std::clamp(sample - log_, -step, step);
    }
    samples_ = std::min(samples_ + 1, kMaxCountedSamples);
  }
  /// Whether there are enough samples for comparisons.
  bool known() const { return samples_ >= kMinSamples; }
  double milliseconds() const { return samples_ == 0 ? 0 : std::exp(log_); }
  /// Natural logarithm of the estimate in milliseconds.
  double log() const { return log_; }

 private:
  /// Minimum step on the logarithmic scale. With it the estimate follows a load change that adds
  /// half to the time within 35 samples, which is a few seconds of a node's requests.
  static constexpr double kMinStep = 0.02;
  /// A smaller number of samples could all come from one slow engine.
  static constexpr int kMinSamples = 8;
  static constexpr int kMaxCountedSamples = 1000;

  double log_ = 0;
  int samples_ = 0;
};

}  // namespace sailgate::balancing
