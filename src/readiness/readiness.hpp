/// @file Decides whether this node is ready for callers, based on its own access to the store and
/// on the reports of other nodes.
///
/// Handles nodes, or whole zones, that lose access to the store while callers still reach them:
/// conversations cannot be persisted there, but other nodes could serve them. To a node's own calls
/// a store that is slow or down for all nodes looks the same; in that case other nodes are no
/// better, and becoming unready only shifts the load. The store status reported by other nodes
/// tells the two cases apart.
///
/// A node "steps aside" when it reports itself as not ready, so that the load balancer sends
/// callers to other nodes.
#pragma once

#include "net/asio.hpp"

namespace sailgate::readiness {

/// What this node knows about a group of other nodes.
struct PeerGroupView {
  int known = 0;                                   ///< heard from since this process started
  int heard = 0;                                   ///< heard from recently
  int reach_store = 0;                             ///< of those heard recently: can reach the store
  int step_aside = 0;                              ///< of those heard recently: step aside
  net::Millis last_heard_age{net::Millis::max()};  ///< age of the latest beacon of any of them
};

struct ReadinessView {
  int store_failures = 0;           ///< failed calls since the last answer, including relayed ones
  net::Millis store_unanswered{0};  ///< time since the last answer
  PeerGroupView own_zone;           ///< without this node
  PeerGroupView other_zones;
};

enum class Reason {
  kStoreAnswers,
  kStoreAwayForAll,  ///< the store is down for all nodes, or it is too early to tell
  kCutOff,           ///< neither the store nor the other zones can be reached
  kStoreLostHere,    ///< other nodes can be reached and can reach the store
  kZoneStepsAside,   ///< most nodes of the zone step aside, and calls to the store fail here
};

struct Readiness {
  bool serve = true;
  Reason reason = Reason::kStoreAnswers;
  bool whole_zone = false;  ///< most other nodes of the zone cannot reach the store either
};

/// Pure function without clock or state. A node whose last call to the store was answered always
/// serves. Nodes of a zone with the same view decide alike.
Readiness decide(const ReadinessView& view);

/// The other zones or, with a single zone, the other nodes of it. Their reports decide whether a
/// node that cannot reach the store is partitioned from the rest.
const PeerGroupView& elsewhere(const ReadinessView& view);

/// Stable name for logs.
const char* name_of(Reason reason);

}  // namespace sailgate::readiness
