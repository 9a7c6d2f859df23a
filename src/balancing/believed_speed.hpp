/// @file Estimate of an engine's speed from this node's exchanges and the reports of its peers.
#pragma once

#include <array>
#include <cstddef>

#include "balancing/engine_speed.hpp"

namespace sailgate::balancing {

/// Median of the reported speeds over the last few seconds. An engine with occasional pauses of
/// half a second keeps its share of the load; one that becomes slow is detected within three
/// seconds. An exponentially decaying mean over the same span estimated 0.45 for an engine that was
/// 2.5 times slower for 0.6 s out of every 4 s (12 nodes in virtual time) and kept shifting load
/// between engines. Deterministic, not thread-safe.
class SpeedEstimate {
 public:
  /// Adds the current reports. Calls less than kSpeedSampleInterval after the last accepted one
  /// have no effect.
  void update(const SpeedReport& own, const SpeedReport& peers, net::TimePoint now);
  /// Whether any accepted report of the last few seconds had samples.
  bool has_samples(net::TimePoint now) const;
  /// Relative to the service's normal speed; 1 if no node has used the engine recently.
  double value() const { return value_; }

 private:
  struct WindowEntry {
    SpeedReport figure;
    net::TimePoint at{};
  };
  static constexpr std::size_t kWindowSize = 7;

  static bool is_recent(const WindowEntry& entry, net::TimePoint now);
  double median(net::TimePoint now, int& samples) const;

  std::array<WindowEntry, kWindowSize> window_{};
  std::size_t next_index_ = 0;
  net::TimePoint updated_at_{};
  double value_ = 1;
};

/// Mean of the node's own samples and its peers' samples, weighted by sample count and clamped to
/// the allowed range of speeds.
SpeedReport weighted_mean(const SpeedReport& own, const SpeedReport& peers);

}  // namespace sailgate::balancing
