#include "readiness/fleet_view.hpp"

#include <algorithm>

namespace sailgate::readiness {

namespace {

void add_peer(const cluster::Peer& peer, net::TimePoint now, net::Millis silence,
              PeerGroupView& view) {
  const auto age = std::chrono::duration_cast<net::Millis>(now - peer.last_heard);
  ++view.known;
  view.last_heard_age = std::min(view.last_heard_age, age);
  if (age >= silence) return;
  ++view.heard;
  if (peer.reaches_store) ++view.reach_store;
  if (peer.steps_aside) ++view.step_aside;
}

}  // namespace

ReadinessView build_readiness_view(const cluster::PeerDirectory& directory, net::TimePoint now,
                                   net::Millis silence) {
  ReadinessView view;
  for (const auto& [node, peer] : directory.peers()) {
    if (!peer.has_reported) continue;
    add_peer(peer, now, silence, peer.zone == directory.zone() ? view.own_zone : view.other_zones);
  }
  return view;
}

std::map<std::string, net::TimePoint> last_heard_by_zone(const cluster::PeerDirectory& directory) {
  std::map<std::string, net::TimePoint> newest;
  for (const auto& [node, peer] : directory.peers()) {
    if (!peer.has_reported || peer.zone == directory.zone()) continue;
    auto& last_heard = newest[peer.zone];
    last_heard = std::max(last_heard, peer.last_heard);
  }
  return newest;
}

}  // namespace sailgate::readiness
