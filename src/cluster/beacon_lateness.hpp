/// @file How late beacons of one sender are read.
#pragma once

#include <cstdint>
#include <optional>

#include "net/asio.hpp"

namespace sailgate::cluster {

/// Compares the sender's clock with this node's: the beacon that took least time of late counts as
/// read at once, the others by so much later, so that beacons that waited while this node stood
/// still are no news. Not thread-safe.
class BeaconLateness {
 public:
  /// @param sent_ms sender's clock when it sent the beacon. @return how late it is read, from 0 on.
  net::Millis of(std::int64_t sent_ms, net::TimePoint now);

 private:
  /// Clocks drift apart, by some 0.1 ms a second at most: the least time is of this long or twice
  /// as long ago, so that drift adds at most 6 ms to what is read as lateness.
  static constexpr net::Millis kMinOffsetPeriod{30'000};

  net::TimePoint period_start_{};
  std::optional<std::int64_t> min_offset_;  ///< receiver's clock less sender's, of this period
  std::optional<std::int64_t> previous_min_offset_;  ///< of the period before
};

}  // namespace sailgate::cluster
