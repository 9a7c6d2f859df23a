/// @file Estimate of the store's current response time.
#pragma once

#include <array>
#include <cstddef>

#include "net/asio.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// Exponentially smoothed mean and deviation of response times. Deterministic, not thread-safe.
class LatencyEstimate {
 public:
  /// Records the result of a call. Refusals are ignored: they carry no information on latency.
  void note(StoreStatus status, net::Millis took);
  void observe(net::Millis latency);
  /// An attempt timed out after `waited`. A single time-out can be a lost response and does not
  /// change the estimate; several consecutive ones indicate that the store has become slower.
  void observe_timeout(net::Millis waited);
  /// Whether the last attempts all timed out: the whole store is slow or does not respond.
  bool silent() const;
  /// Time after which a response is more likely lost than late.
  net::Millis attempt_timeout() const;
  /// Delay before a hedged request is sent while the first response is still outstanding: 1.5 times
  /// the lower quartile of the last five response times, plus a margin. One fast response of five
  /// does not lower it, two do; it follows a store that has become slow with the fourth response.
  net::Millis hedge_delay() const;

 private:
  static constexpr std::size_t kRecentCount = 5;
  double mean_ms_ = 8;
  double deviation_ms_ = 8;
  int consecutive_timeouts_ = 0;
  std::array<net::Millis, kRecentCount> recent_{};  ///< ring buffer of the latest response times
  std::size_t response_count_ = 0;
};

}  // namespace sailgate::store
