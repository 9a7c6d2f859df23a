#include "cluster/departed_peers.hpp"

#include <algorithm>

namespace sailgate::cluster {

namespace {

/// Longer than any window of a limit.
constexpr net::Millis kRetentionPeriod{60'000};

}  // namespace

void DepartedPeers::add(std::int64_t incarnation, DepartedPeer peer) {
  peers_[incarnation] = std::move(peer);
}

bool DepartedPeers::on_beacon(std::int64_t incarnation, const TenantUsages& tenants,
                              net::TimePoint heard_at) {
  const auto known = peers_.find(incarnation);
  if (known == peers_.end()) return false;
  known->second.last_heard = std::max(known->second.last_heard, heard_at);
  known->second.tenants = tenants;
  return true;
}

void DepartedPeers::evict_expired(net::TimePoint now) {
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    const bool expired = now >= entry->second.last_heard + kRetentionPeriod;
    entry = expired ? peers_.erase(entry) : std::next(entry);
  }
}

std::vector<const DepartedPeer*> DepartedPeers::serving(net::TimePoint now,
                                                        net::Millis silence) const {
  std::vector<const DepartedPeer*> serving;
  for (const auto& [incarnation, peer] : peers_) {
    if (!peer.replaced && now < peer.last_heard + silence) serving.push_back(&peer);
  }
  return serving;
}

net::Millis DepartedPeers::unreported_time(const std::string& node, net::TimePoint from,
                                           net::TimePoint until) const {
  auto unreported_time = until - from;
  for (const auto& [incarnation, peer] : peers_) {
    if (!peer.reported || peer.node != node) continue;
    const auto began = std::max(from, peer.started_at);
    const auto ended = std::min(until, peer.last_heard);
    if (ended > began) unreported_time -= ended - began;
  }
  return std::max(std::chrono::duration_cast<net::Millis>(unreported_time), net::Millis(0));
}

}  // namespace sailgate::cluster
