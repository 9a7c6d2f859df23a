/// @file Parts of a node that can be switched off, to measure what each is worth.
#pragma once

#include <string>
#include <vector>

namespace sailgate::base {

/// For experiments: all are on in service. Nodes that share a store must agree on `escrow` from the
/// store's first use on, since it divides budgets.
struct Mechanisms {
  bool escrow = true;         ///< owners of shards spend a part of each budget from memory
  bool homes = true;          ///< one node keeps a program's tokens for the others
  bool gathering = true;      ///< tokens that other holders do not use are asked for
  bool relay = true;          ///< a node that the store does not answer goes through a peer
  bool lines = true;          ///< a line of turns stays at the engine of its last turn
  bool affinity = true;       ///< long prompts go to one engine, whichever node chooses
  bool peer_loads = true;     ///< what other nodes have at an engine counts as its load
  bool peer_failures = true;  ///< engines that fail for many nodes are tried by one a zone
  bool avoidance = true;      ///< engines that failed or refused come last for a while
  bool overload = true;       ///< programs do not begin while their engines are overloaded
  bool resuming = true;       ///< broken streams go on at another engine
  /// A node or zone that is cut off sends callers elsewhere; engines of zones not heard come last.
  bool readiness = true;
  /// Tenants share what overloaded engines can still take; refused callers return in an order.
  bool fairness = true;
  /// Turns wait for a store that is expected back in time; tries for their rows overlap.
  bool holding = true;
  bool speeds = true;      ///< engines get work by how fast they were seen to be
  bool prompts = true;     ///< shared prompts live at as many engines as they need
  bool quarantine = true;  ///< a request that ended several engines reaches no further one
};

/// Names that switch_off() takes.
std::vector<std::string> mechanism_names();

/// @throws std::invalid_argument when there is no such mechanism.
void switch_off(Mechanisms& mechanisms, const std::string& name);

}  // namespace sailgate::base
