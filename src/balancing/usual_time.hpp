/// @file What is usual for the exchanges of a service or route.
#pragma once

#include <algorithm>
#include <cmath>

namespace sailgate::balancing {

/// Running median of times: a step up or down a sample, whatever its size, so that a few exchanges
/// that hang do not change what is usual. Deterministic, not thread-safe.
class RunningMedian {
 public:
  /// @param milliseconds more than 0; others tell nothing and are left out.
  void add(double milliseconds) {
    if (!(milliseconds > 0)) return;
    const double sample = std::log(milliseconds);
    if (samples_ == 0) {
      log_ = sample;
    } else {
      const double step = std::max(1.0 / (samples_ + 1), kLeastStep);
      log_ += std::clamp(sample - log_, -step, step);
    }
    samples_ = std::min(samples_ + 1, kMostCounted);
  }
  /// Whether samples can be compared with it.
  bool known() const { return samples_ >= kLeastSamples; }
  double milliseconds() const { return samples_ == 0 ? 0 : std::exp(log_); }
  /// Natural logarithm of the time in milliseconds.
  double log() const { return log_; }

 private:
  /// Part by which one sample moves the estimate: it follows a change of the load by half within
  /// 35 samples, a few seconds of a node's requests.
  static constexpr double kLeastStep = 0.02;
  /// Fewer samples may all be of one slow engine.
  static constexpr int kLeastSamples = 8;
  static constexpr int kMostCounted = 1000;

  double log_ = 0;
  int samples_ = 0;
};

}  // namespace sailgate::balancing
