/// @file Summaries of the peer directory, by zone.
#pragma once

#include <map>
#include <string>

#include "cluster/peer_directory.hpp"
#include "readiness/readiness.hpp"

namespace sailgate::readiness {

/// Counts the peers of this zone and of the others. @param silence time without a beacon after
/// which a peer no longer counts as heard.
ReadinessView build_readiness_view(const cluster::PeerDirectory& directory, net::TimePoint now,
                                   net::Millis silence);

/// Time of the latest beacon of any node, by zone; without this node's zone.
std::map<std::string, net::TimePoint> last_heard_by_zone(const cluster::PeerDirectory& directory);

}  // namespace sailgate::readiness
