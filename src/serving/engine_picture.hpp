/// @file Engines as all nodes together see them.
#pragma once

#include <vector>

#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Takes what the other nodes tell of engines over into the registry: their loads, failures and
/// speeds, and which of them keep each shared prompt. Not thread-safe.
class EngineStateUpdater {
 public:
  explicit EngineStateUpdater(NodeState& state) : state_(state) {}

  /// Called every 0.1 s or so.
  void maintain(net::TimePoint now);

 private:
  void update_loads(net::TimePoint now);
  /// Leaves engines that fail for many nodes to one node of each zone.
  void update_failures(net::TimePoint now);
  /// Takes over how fast engines are, as this node's exchanges and the other nodes tell.
  void update_speeds(net::TimePoint now);
  void log_speed(balancing::Engine& engine, const balancing::SpeedReport& reported,
                 net::TimePoint now);
  /// Settles which engines keep each shared prompt, from what all nodes are asked for.
  void update_prompt_placement(net::TimePoint now);
  void log_replica_changes(const routing::Service& service, double prompt_tokens,
                           const std::vector<balancing::ReplicaCountChange>& changes);

  NodeState& state_;
  net::TimePoint speeds_updated_at_{};
  net::TimePoint prompts_updated_at_{};
};

}  // namespace sailgate::serving
