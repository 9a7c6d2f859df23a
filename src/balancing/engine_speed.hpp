/// @file How fast an engine is against the usual engine of its service.
///
/// Answers services whose engines differ in speed, for good or for a while. Requests under way do
/// not show it until a queue has grown.
#pragma once

#include <cstdint>

#include "net/asio.hpp"

namespace sailgate::balancing {

/// A speed with the exchanges behind it, as nodes tell it each other.
struct SpeedFigure {
  int permille = 1000;  ///< of the usual engine's speed
  int samples = 0;
};

/// Believed speeds are bounded, so that wrong news neither starves an engine nor sends it all work:
/// a slow engine gets enough to be seen mending.
inline constexpr int kLeastPermille = 250;
inline constexpr int kMostPermille = 4000;
/// Samples that the usual speed counts for: one slow exchange of an engine that has hardly been
/// used must not empty it.
inline constexpr int kUsualSamples = 4;

/// What one node learns of one engine. Old exchanges fade. Deterministic, not thread-safe.
class EngineSpeed {
 public:
  /// An exchange ended. @param slowness natural logarithm of its time over the usual time for it.
  void add(double slowness, net::TimePoint now);
  /// Without samples of late the engine counts as usual.
  SpeedFigure figure(net::TimePoint now) const;

 private:
  /// Part of what was known that is still worth something.
  double kept(net::TimePoint now) const;

  double weight_ = 0;
  double slowness_ = 0;  ///< sum, weighted
  net::TimePoint noted_at_{};
};

/// Speed that a node goes by: the mean of its own samples, those of the others, and the usual one.
double believed_speed(const SpeedFigure& own, const SpeedFigure& told);

}  // namespace sailgate::balancing
