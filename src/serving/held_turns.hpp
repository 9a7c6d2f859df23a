/// @file Queue of the turns that wait on a node until the store is available again.
///
/// When the store is back, held turns start earliest deadline first and in small batches, so that
/// the node does not send all its first store calls within the same millisecond.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "net/asio.hpp"

namespace sailgate::serving {

/// Deterministic, not thread-safe.
class HeldTurns {
 public:
  /// Position in the queue: deadline, then order of arrival.
  using Ticket = std::pair<net::TimePoint, std::uint64_t>;

  Ticket add(net::TimePoint deadline, std::size_t bytes);
  void remove(const Ticket& ticket);
  /// Whether this turn may start now. Must be called only while the store is available. If true,
  /// the turn counts towards the current batch; the caller must still remove() it.
  bool may_begin(const Ticket& ticket, net::TimePoint now);

  std::size_t count() const { return held_.size(); }
  std::size_t bytes() const { return bytes_; }

  /// Number of turns that may start within one interval. A node with 0.1 CPU cores needs about 1 ms
  /// to start a turn.
  static constexpr int kStartBatchSize = 2;
  static constexpr net::Millis kStartBatchInterval{20};

 private:
  std::map<Ticket, std::size_t> held_;  ///< request size in bytes, by position
  std::size_t bytes_ = 0;
  std::uint64_t next_arrival_ = 0;
  net::TimePoint batch_started_at_{};
  int batch_starts_ = 0;  ///< turns started in the current batch
};

}  // namespace sailgate::serving
