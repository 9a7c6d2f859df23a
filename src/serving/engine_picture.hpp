/// @file Engines as all nodes together see them.
#pragma once

#include <vector>

#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Takes what the other nodes tell of engines over into the registry: their loads, failures and
/// speeds, and which of them keep each shared prompt. Not thread-safe.
class EnginePicture {
 public:
  explicit EnginePicture(NodeState& state) : state_(state) {}

  /// Called every 0.1 s or so.
  void maintain(net::TimePoint now);

 private:
  void take_loads(net::TimePoint now);
  /// Leaves engines that fail for many nodes to one node of each zone.
  void take_failures(net::TimePoint now);
  /// Takes over how fast engines are, as this node's exchanges and the other nodes tell.
  void take_speeds(net::TimePoint now);
  void log_speed(balancing::Engine& engine, const balancing::SpeedReport& told, net::TimePoint now);
  /// Settles which engines keep each shared prompt, from what all nodes are asked for.
  void place_prompts(net::TimePoint now);
  void log_places(const routing::Service& service, double prompt_tokens,
                  const std::vector<balancing::ReplicaCountChange>& changes);

  NodeState& state_;
  net::TimePoint speeds_taken_at_{};
  net::TimePoint prompts_placed_at_{};
};

}  // namespace sailgate::serving
