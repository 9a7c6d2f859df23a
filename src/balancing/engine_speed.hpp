/// @file Speed of an engine relative to the normal speed of its service.
///
/// For services whose engines differ in speed, permanently or temporarily. The number of requests
/// in flight reveals a slow engine only after a queue has built up. With a fifth of the engines
/// four times slower for 20 s, 68 programs failed and 114 were late out of 2,927 without the speed
/// estimate, and 19 and 84 out of 2,947 with it (84 nodes, one run each). Measuring the duration of
/// whole streams instead of the time between events gave 19 and 129 out of 2,989.
#pragma once

#include <cstdint>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// A speed and its number of samples, as exchanged between nodes.
struct SpeedReport {
  int permille = 1000;  ///< of the normal speed
  int samples = 0;
};

/// Bounds of the estimated speed, so that wrong reports neither starve an engine nor send it all
/// requests. A slow engine still gets enough requests for its recovery to be detected.
inline constexpr int kMinPermille = 250;
inline constexpr int kMaxPermille = 4000;
/// Limit on the samples counted from one report, about what the nodes of one zone can collect.
/// Without it a single wrong report could outweigh all others.
inline constexpr int kMaxSamples = 1000;
/// Interval between speed samples and time constant of the exponential decay. It covers some
/// exchanges over all nodes, and a slow period of half a second affects at most two samples.
inline constexpr net::Millis kSpeedSampleInterval{700};

/// Speed of one engine as measured by this node, with exponential decay. Deterministic, not
/// thread-safe.
class EngineSpeed {
 public:
  /// Records a finished exchange.
  /// @param slowness natural logarithm of its duration divided by the typical duration.
  void add(double slowness, net::TimePoint now);
  /// Reports normal speed with no samples if there were no recent exchanges.
  SpeedReport figure(net::TimePoint now) const;

 private:
  /// Remaining weight of the recorded samples.
  double decay_factor(net::TimePoint now) const;

  double weight_ = 0;
  double slowness_ = 0;  ///< weighted sum
  net::TimePoint updated_at_{};
};

}  // namespace sailgate::balancing
