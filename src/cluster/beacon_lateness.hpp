/// @file Estimates how late the beacons of one sender are read.
#pragma once

#include <cstdint>
#include <optional>

#include "net/asio.hpp"

namespace sailgate::cluster {

/// Compares the sender's clock with this node's. The recent beacon with the smallest clock offset
/// counts as read without delay, and the lateness of the others is their excess over that offset.
/// Beacons that were queued while this node was stalled are thus not mistaken for current ones. Not
/// thread-safe.
class BeaconLateness {
 public:
  /// @param sent_ms sender's clock when it sent the beacon. @return its lateness, at least 0.
  net::Millis of(std::int64_t sent_ms, net::TimePoint now);

 private:
  /// The minimum covers the current and the previous period of this length. Clocks drift by about
  /// 0.1 ms per second at most, so drift adds at most 6 ms to the lateness.
  static constexpr net::Millis kMinOffsetPeriod{30'000};

  net::TimePoint period_start_{};
  std::optional<std::int64_t> min_offset_;  ///< receiver's clock minus sender's, in this period
  std::optional<std::int64_t> previous_min_offset_;  ///< in the previous period
};

}  // namespace sailgate::cluster
