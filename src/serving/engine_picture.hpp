/// @file Combines the observations of all nodes about the engines.
#pragma once

#include <unordered_set>
#include <vector>

#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Updates the registry from the peers' beacons: loads, failures and speeds of the engines. Also
/// assigns the shared prompts to engines. Not thread-safe.
class EngineStateUpdater {
 public:
  explicit EngineStateUpdater(NodeState& state) : state_(state) {}

  /// Must be called about every 0.1 s.
  void maintain(net::TimePoint now);

 private:
  void update_loads(net::TimePoint now);
  /// Restricts probing of engines that fail for several nodes to one node per zone.
  void update_failures(net::TimePoint now);
  /// Updates the speed estimates from this node's exchanges and the peers' reports.
  void update_speeds(net::TimePoint now);
  void log_speed(balancing::Engine& engine, const balancing::SpeedReport& reported,
                 net::TimePoint now);
  /// Assigns the shared prompts to engines by the requests of all nodes.
  void update_prompt_placement(net::TimePoint now);
  void log_replica_changes(const routing::Service& service, double prompt_tokens,
                           const std::vector<balancing::ReplicaCountChange>& changes);

  /// Engines whose last requests may have failed here or at peers, or that await a probe.
  std::vector<balancing::EnginePointer> possibly_failing(const cluster::EngineLoads& reported);

  NodeState& state_;
  std::vector<balancing::EnginePointer> loaded_by_peers_;  ///< peer_in_flight may be above 0
  std::unordered_set<balancing::EnginePointer> measured_;  ///< with recent speed samples
  std::unordered_set<balancing::EnginePointer> awaiting_probe_;
  net::TimePoint speeds_updated_at_{};
  net::TimePoint prompts_updated_at_{};
};

}  // namespace sailgate::serving
