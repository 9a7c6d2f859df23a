/// @file How long the store takes to answer, lately.
#pragma once

#include "net/asio.hpp"

namespace sailgate::store {

/// Smoothed mean and deviation of answer times. Deterministic, not thread-safe.
class LatencyEstimate {
 public:
  void observe(net::Millis latency);
  /// Time after which an answer is more likely lost than late.
  net::Millis patience() const;

 private:
  double mean_ms_ = 8;
  double deviation_ms_ = 8;
};

}  // namespace sailgate::store
