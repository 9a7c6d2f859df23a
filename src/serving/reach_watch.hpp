/// @file What this node reaches: the store, the other zones and their engines.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "balancing/zone_reach.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Keeps up whether this node steps aside, and which zones' engines come last. Not thread-safe.
class ReachabilityMonitor {
 public:
  /// @param close_idle_connections makes callers whose connection is idle come back by a new one.
  ReachabilityMonitor(NodeState& state, std::function<void()> close_idle_connections)
      : state_(state), close_idle_connections_(std::move(close_idle_connections)) {}

  /// Called every 0.1 s or so.
  void maintain(net::TimePoint now);

 private:
  /// Decides whether callers are sent elsewhere.
  void update_readiness(net::TimePoint now);
  void log_readiness(const readiness::ReadinessView& view);
  /// Puts the engines of zones that are not heard last.
  void update_zone_reachability(net::TimePoint now);
  /// Puts the engines of one other zone last, or not.
  void update_zone(const std::string& zone, const std::vector<balancing::EnginePointer>& engines,
                   net::TimePoint now);
  /// Tries a connection to an engine of a silent zone.
  net::asio::awaitable<void> probe_zone(balancing::EnginePointer engine);

  NodeState& state_;
  std::function<void()> close_idle_connections_;
  balancing::ZoneReachability zone_reachability_;
  bool idle_closed_ = false;  ///< since this node steps aside
};

}  // namespace sailgate::serving
