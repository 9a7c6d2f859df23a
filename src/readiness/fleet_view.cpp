#include "readiness/fleet_view.hpp"

#include <algorithm>

namespace sailgate::readiness {

namespace {

void add(const cluster::Peer& peer, net::TimePoint now, net::Millis silence, NodesSeen& seen) {
  const auto age = std::chrono::duration_cast<net::Millis>(now - peer.last_heard);
  ++seen.known;
  seen.newest_news = std::min(seen.newest_news, age);
  if (age >= silence) return;
  ++seen.heard;
  if (peer.reaches_store) ++seen.reach_store;
  if (peer.steps_aside) ++seen.step_aside;
}

}  // namespace

ReadinessView view_of(const cluster::PeerDirectory& directory, net::TimePoint now,
                      net::Millis silence) {
  ReadinessView view;
  for (const auto& [node, peer] : directory.peers()) {
    if (!peer.has_reported) continue;
    add(peer, now, silence, peer.zone == directory.zone() ? view.own_zone : view.other_zones);
  }
  return view;
}

std::map<std::string, net::TimePoint> newest_signs(const cluster::PeerDirectory& directory) {
  std::map<std::string, net::TimePoint> newest;
  for (const auto& [node, peer] : directory.peers()) {
    if (!peer.has_reported || peer.zone == directory.zone()) continue;
    auto& sign = newest[peer.zone];
    sign = std::max(sign, peer.last_heard);
  }
  return newest;
}

}  // namespace sailgate::readiness
