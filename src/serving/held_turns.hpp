/// @file Turns that wait at a node for the store, and the order in which they begin.
///
/// Answers the moment at which a store is back: whoever has least time left begins first, and a few
/// at a time, so that the node's first calls are not all sent in the same millisecond.
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
  /// Orders turns: by deadline, then by arrival.
  using Ticket = std::pair<net::TimePoint, std::uint64_t>;

  Ticket add(net::TimePoint deadline, std::size_t bytes);
  void remove(const Ticket& ticket);
  /// Whether this turn may begin now that the store is back; it is counted as begun then, and still
  /// has to be removed.
  bool may_begin(const Ticket& ticket, net::TimePoint now);

  std::size_t count() const { return held_.size(); }
  std::size_t bytes() const { return bytes_; }

  /// Turns that may begin together, and the pause after that: a node of 0.1 cores takes about a
  /// millisecond for each turn that begins.
  static constexpr int kStartBatchSize = 2;
  static constexpr net::Millis kStartBatchInterval{20};

 private:
  std::map<Ticket, std::size_t> held_;  ///< with the bytes of each
  std::size_t bytes_ = 0;
  std::uint64_t next_arrival_ = 0;
  net::TimePoint batch_started_at_{};
  int batch_starts_ = 0;  ///< since then
};

}  // namespace sailgate::serving
