/// @file Whether callers should be sent to this node, from what it knows of the store and of
/// others.
///
/// Answers a node, or all nodes of a zone, that lose the store while callers still reach them:
/// conversations cannot become durable there, and other nodes could serve them. A store that is
/// slow or away for everybody looks the same to a node's own calls, but then another node is no
/// better, and leaving only moves the load. What others tell of the store makes the difference.
#pragma once

#include "net/asio.hpp"

namespace sailgate::readiness {

/// What this node knows of a group of other nodes.
struct PeerGroupView {
  int known = 0;        ///< were heard of since this process started
  int heard = 0;        ///< were heard of lately
  int reach_store = 0;  ///< of those heard: the store answers their own calls
  int step_aside = 0;   ///< of those heard: they send callers elsewhere
  net::Millis last_heard_age{net::Millis::max()};  ///< age of the last sign of life of any of them
};

struct ReadinessView {
  int store_failures = 0;           ///< calls that failed since the last answer, relayed ones too
  net::Millis store_unanswered{0};  ///< time since the last answer
  PeerGroupView own_zone;           ///< without this node
  PeerGroupView other_zones;
};

enum class Reason {
  kStoreAnswers,
  kStoreAwayForAll,  ///< or too early to tell
  kCutOff,           ///< neither the store nor the other zones are heard
  kStoreLostHere,    ///< others are heard, and the store answers them
  kZoneStepsAside,   ///< most nodes of the zone do, and the store does not answer this one
};

struct Readiness {
  bool serve = true;
  Reason reason = Reason::kStoreAnswers;
  bool whole_zone = false;  ///< most other nodes of the zone do not reach the store either
};

/// Pure decision: no clock, no memory. While the last call to the store was answered it is always
/// to serve; nodes of a zone with the same view decide alike.
Readiness decide(const ReadinessView& view);

/// The other zones, or the other nodes where there is one zone only: what they tell decides whether
/// a node that misses the store is cut off.
const PeerGroupView& elsewhere(const ReadinessView& view);

/// Stable name for logs.
const char* name_of(Reason reason);

}  // namespace sailgate::readiness
