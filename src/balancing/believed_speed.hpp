/// @file Speed that a node goes by, from its own exchanges and what the others tell.
#pragma once

#include <array>
#include <cstddef>

#include "balancing/engine_speed.hpp"

namespace sailgate::balancing {

/// Median over some seconds of what was told: an engine that is slow for half a second now and then
/// stays where it is, one that turns slow is seen within three seconds. A mean that fades over as
/// long believed 0.45 of an engine that is 2.5 times slower for 0.6 s in every 4 s (12 nodes in
/// virtual time), and sent its work around. Deterministic, not thread-safe.
class SpeedEstimate {
 public:
  /// Takes over what is known now; more often than the span of a reading it changes nothing.
  void take(const SpeedReport& own, const SpeedReport& told, net::TimePoint now);
  /// Over the usual engine's of the service; 1 when nobody used the engine of late.
  double value() const { return value_; }

 private:
  struct Reading {
    SpeedReport figure;
    net::TimePoint at{};
  };
  static constexpr std::size_t kReadings = 7;

  double median(net::TimePoint now, int& samples) const;

  std::array<Reading, kReadings> readings_{};
  std::size_t next_ = 0;
  net::TimePoint taken_at_{};
  double value_ = 1;
};

/// Mean of a node's own samples and those of the others, within the bounds of speed.
SpeedReport merged(const SpeedReport& own, const SpeedReport& told);

}  // namespace sailgate::balancing
