/// @file When the parts of the store are looked through for rows whose time is over.
#pragma once

#include <cstddef>
#include <cstdint>

#include "net/asio.hpp"

namespace sailgate::ledger {

/// Every node looks at parts drawn at random, so slowly that all nodes together look at each part
/// about once a cycle. Deterministic, no I/O.
///
/// It begins with the process: what earlier processes wrote expires whoever is there, and a fleet
/// whose processes all start again must not wait before it makes room. With a first look after
/// 180 s a store of 400 MB was full after 82 s of a day, and stayed so.
class SweepSchedule {
 public:
  /// Time between two parts that one node looks at.
  /// @param full the store refuses writes for want of space.
  static net::Millis pause(std::size_t nodes, std::uint64_t parts, bool full) {
    const auto cycle = full ? kCycleWhileFull : kCycle;
    return cycle * static_cast<std::int64_t>(nodes) / static_cast<std::int64_t>(parts);
  }

 private:
  /// All nodes together look at every part once in this time: 43 calls a second for 256 parts, and
  /// rows stay about so much longer than their time.
  static constexpr net::Millis kCycle{12'000};
  /// Nothing is served before there is room: 256 reads a second and at most as many writes, an
  /// eighth and a third of the least rates that a store has been given (2,000 and 800 a second).
  static constexpr net::Millis kCycleWhileFull{1'000};
};

}  // namespace sailgate::ledger
