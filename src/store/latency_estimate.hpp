/// @file How long the store takes to answer, lately.
#pragma once

#include <array>
#include <cstddef>

#include "net/asio.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// Smoothed mean and deviation of answer times. Deterministic, not thread-safe.
class LatencyEstimate {
 public:
  /// Takes in how a call ended; a refusal says nothing of the speed.
  void note(StoreStatus status, net::Millis took);
  void observe(net::Millis latency);
  /// A try was given up after `waited`. Single answers get lost, which says nothing of the speed;
  /// several in a row say that the store takes longer.
  void observe_timeout(net::Millis waited);
  /// Whether the last tries had no answer: the store as a whole is slow or silent.
  bool silent() const;
  /// Time after which an answer is more likely lost than late.
  net::Millis attempt_timeout() const;
  /// Time from which it is worth asking once more while the first answer may still come: somewhat
  /// more than the faster of the last answers took. One fast answer of five is not enough to lower
  /// it, two are; a store that turned slow is followed with the fourth answer.
  net::Millis hedge_delay() const;

 private:
  static constexpr std::size_t kRecent = 5;
  double mean_ms_ = 8;
  double deviation_ms_ = 8;
  int silences_in_a_row_ = 0;
  std::array<net::Millis, kRecent> recent_{};  ///< answer times, the latest ones
  std::size_t answers_ = 0;
};

}  // namespace sailgate::store
