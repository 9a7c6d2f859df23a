/// @file The engines that this node uses.
#pragma once

#include <unordered_map>

#include "balancing/engine_registry.hpp"

namespace sailgate::balancing {

/// Engines with requests or recent observations of this node: a few of the thousands in a large
/// fleet. Periodic work on own observations visits only these. Not thread-safe.
class EnginesInUse {
 public:
  /// Records that the node sends the engine a request.
  void add(const EnginePointer& engine, net::TimePoint now) { last_used_[engine] = now; }
  /// Drops engines without requests in flight, failures and speed samples to report.
  void evict_idle(net::TimePoint now);
  /// Each engine with the time at which it was last used.
  const std::unordered_map<EnginePointer, net::TimePoint>& all() const { return last_used_; }

 private:
  /// The last observation of an exchange is recorded within this time of its end.
  static constexpr net::Millis kMinIdleTime{1000};

  std::unordered_map<EnginePointer, net::TimePoint> last_used_;
};

}  // namespace sailgate::balancing
