/// @file What the directory of peers tells of other zones and of the own one.
#pragma once

#include <map>
#include <string>

#include "cluster/peer_directory.hpp"
#include "readiness/readiness.hpp"

namespace sailgate::readiness {

/// @param silence longest time between two signs of life of a peer.
ReadinessView build_readiness_view(const cluster::PeerDirectory& directory, net::TimePoint now,
                                   net::Millis silence);

/// Last sign of life of any node, by zone; without the own one.
std::map<std::string, net::TimePoint> last_heard_by_zone(const cluster::PeerDirectory& directory);

}  // namespace sailgate::readiness
