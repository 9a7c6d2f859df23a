/// @file Rate at which the partitions of the store are swept for expired rows.
#pragma once

#include <cstddef>
#include <cstdint>

#include "net/asio.hpp"

namespace sailgate::ledger {

/// Each node sweeps randomly chosen partitions, at a rate at which all nodes together sweep each
/// partition about once per cycle. Deterministic, performs no I/O.
///
/// Sweeping starts when the process starts: rows written by earlier processes expire as well, and a
/// fleet whose processes have all restarted must free space without delay. When the first sweep
/// took place after 180 s, a store of 400 MB was full after 82 s of load, and stayed full.
class SweepSchedule {
 public:
  /// Time between two sweeps by one node.
  /// @param full the store refuses writes because it is full.
  static net::Millis pause(std::size_t nodes, std::uint64_t parts, bool full) {
    const auto cycle = full ? kSweepCycleWhenFull : kSweepCycle;
    return cycle * static_cast<std::int64_t>(nodes) / static_cast<std::int64_t>(parts);
  }

 private:
  /// Time in which all nodes together sweep every partition once: 43 calls per second for 256
  /// partitions. Rows stay in the store for about this long after they expire.
  static constexpr net::Millis kSweepCycle{12'000};
  /// Nothing can be served until space is freed. For 256 partitions this takes 256 reads per second
  /// and at most as many writes: an eighth and a third of the lowest rate limits configured for a
  /// store (2,000 reads and 800 writes per second).
  static constexpr net::Millis kSweepCycleWhenFull{1'000};
};

}  // namespace sailgate::ledger
