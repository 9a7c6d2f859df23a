/// @file When the parts of the store are looked through for rows whose time is over.
#pragma once

#include <cstddef>
#include <cstdint>

#include "net/asio.hpp"

namespace sailgate::ledger {

/// Every node looks at parts drawn at random, so slowly that all nodes together look at each part
/// about once a cycle. Deterministic, no I/O.
class SweepSchedule {
 public:
  /// A node that just started waits this long.
  static net::Millis first_look() { return kFirstLook; }
  /// Time between two parts that one node looks at.
  static net::Millis pause(std::size_t nodes, std::uint64_t parts) {
    return kCycle * static_cast<std::int64_t>(nodes) / static_cast<std::int64_t>(parts);
  }

 private:
  /// Nothing expires sooner after a start.
  static constexpr net::Millis kFirstLook{180'000};
  /// All nodes together look at every part once in this time.
  static constexpr net::Millis kCycle{60'000};
};

}  // namespace sailgate::ledger
