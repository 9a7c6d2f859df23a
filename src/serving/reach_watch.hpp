/// @file Monitors whether this node reaches the store, the other zones and their engines.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "balancing/zone_reach.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Maintains whether this node steps aside (reports itself as not ready) and which zones' engines
/// rank last in selection. Not thread-safe.
class ReachabilityMonitor {
 public:
  /// @param close_idle_connections closes the idle connections of callers, so that they reconnect
  /// through the load balancer.
  ReachabilityMonitor(NodeState& state, std::function<void()> close_idle_connections)
      : state_(state), close_idle_connections_(std::move(close_idle_connections)) {}

  /// Must be called about every 0.1 s.
  void maintain(net::TimePoint now);

 private:
  /// Decides whether this node steps aside, and closes idle connections once the load balancer has
  /// detected it.
  void update_readiness(net::TimePoint now);
  void log_readiness(const readiness::ReadinessView& view);
  /// Updates the ranking of the engines in all other zones.
  void update_zone_reachability(net::TimePoint now);
  /// Makes the engines of one other zone rank last while there is no contact with it.
  void update_zone(const std::string& zone, const std::vector<balancing::EnginePointer>& engines,
                   net::TimePoint now);
  /// Opens a probe connection to an engine of a silent zone.
  net::asio::awaitable<void> probe_zone(balancing::EnginePointer engine);

  /// What the engines of a zone were last marked with.
  struct ZoneMark {
    bool silent = false;
    std::uint64_t membership_version = 0;  ///< of the registry; engines added since are unmarked

    bool operator==(const ZoneMark&) const = default;
  };

  NodeState& state_;
  std::function<void()> close_idle_connections_;
  balancing::ZoneReachability zone_reachability_;
  std::map<std::string, ZoneMark> marked_;  ///< by zone
  bool idle_closed_ = false;  ///< idle connections were closed since the node stepped aside
};

}  // namespace sailgate::serving
