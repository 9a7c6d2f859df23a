#include "cluster/peer_directory.hpp"

#include <xxhash.h>

#include <algorithm>

namespace sailgate::cluster {

namespace {

constexpr net::Millis kSuspicion{600};

std::uint64_t rendezvous_weight(const std::string& key, const std::string& node) {
  return XXH64(key.data(), key.size(), XXH64(node.data(), node.size(), 0));
}

}  // namespace

void PeerDirectory::put(const std::string& node, const wire::PeerRow& row, net::TimePoint seen_at) {
  if (node == self_) return;
  const auto known = peers_.find(node);
  if (known != peers_.end() && known->second.incarnation == row.incarnation) return;
  forget(node);
  net::Error error;
  const auto address = net::asio::ip::make_address(row.address, error);
  if (error) return;
  Peer peer;
  peer.node = node;
  peer.incarnation = row.incarnation;
  peer.zone = row.zone;
  peer.endpoint = {address, static_cast<std::uint16_t>(row.port)};
  peer.last_heard = seen_at;
  nodes_by_incarnation_[peer.incarnation] = node;
  peers_[node] = std::move(peer);
}

void PeerDirectory::remove(const std::string& node) { forget(node); }

void PeerDirectory::forget(const std::string& node) {
  const auto known = peers_.find(node);
  if (known == peers_.end()) return;
  nodes_by_incarnation_.erase(known->second.incarnation);
  peers_.erase(known);
}

Peer* PeerDirectory::find_by(std::int64_t incarnation) {
  const auto node = nodes_by_incarnation_.find(incarnation);
  return node == nodes_by_incarnation_.end() ? nullptr : &peers_.at(node->second);
}

const Peer* PeerDirectory::find(std::int64_t incarnation) const {
  const auto node = nodes_by_incarnation_.find(incarnation);
  return node == nodes_by_incarnation_.end() ? nullptr : &peers_.at(node->second);
}

bool PeerDirectory::on_beacon(const wire::Beacon& beacon, net::TimePoint now) {
  auto* peer = find_by(beacon.incarnation);
  if (peer == nullptr) return false;
  peer->last_heard = now;
  peer->reaches_store = beacon.reaches_store;
  newest_store_version_ = std::max(newest_store_version_, beacon.store_version);
  peer->loads = beacon.loads;
  peer->escrow_shards = {beacon.escrow_shards.begin(), beacon.escrow_shards.end()};
  peer->bare_shards = {beacon.bare_shards.begin(), beacon.bare_shards.end()};
  return true;
}

void PeerDirectory::on_summary(const wire::ZoneSummary& summary, net::TimePoint now) {
  if (summary.zone == zone_) return;
  for (const auto& member : summary.members) {
    auto* peer = find_by(member.incarnation);
    const auto heard_at = now - net::Millis(member.silent_ms);
    if (peer == nullptr || peer->zone != summary.zone || heard_at < peer->last_heard) continue;
    peer->last_heard = heard_at;
    peer->reaches_store = member.reaches_store;
    peer->escrow_shards = {member.escrow_shards.begin(), member.escrow_shards.end()};
    peer->bare_shards = {member.bare_shards.begin(), member.bare_shards.end()};
  }
  zone_loads_[summary.zone] = {summary.loads, now};
}

wire::ZoneSummary PeerDirectory::summarize_zone(net::TimePoint now, net::Millis silence) const {
  wire::ZoneSummary summary;
  summary.zone = zone_;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone != zone_ || now >= peer.last_heard + silence) continue;
    wire::ZoneMember member;
    member.incarnation = peer.incarnation;
    const auto silent = std::chrono::duration_cast<net::Millis>(now - peer.last_heard);
    member.silent_ms = static_cast<std::int32_t>(silent.count());
    member.reaches_store = peer.reaches_store;
    if (!peer.escrow_shards.empty()) {
      member.__set_escrow_shards({peer.escrow_shards.begin(), peer.escrow_shards.end()});
    }
    if (!peer.bare_shards.empty()) {
      member.__set_bare_shards({peer.bare_shards.begin(), peer.bare_shards.end()});
    }
    summary.members.push_back(std::move(member));
    for (const auto& [engine, in_flight] : peer.loads) summary.loads[engine] += in_flight;
  }
  return summary;
}

void PeerDirectory::suspect(const std::string& node, net::TimePoint now) {
  const auto peer = peers_.find(node);
  if (peer == peers_.end()) return;
  peer->second.suspected_at = now;
  peer->second.suspected_until = now + kSuspicion;
}

bool PeerDirectory::is_live(const Peer& peer, net::TimePoint now, net::Millis silence) {
  if (now >= peer.last_heard + silence || now < peer.suspected_until) return false;
  const bool suspected = peer.suspected_at != net::TimePoint{};
  return !suspected || peer.last_heard > peer.suspected_at;
}

std::optional<Peer> PeerDirectory::home(const std::string& key, net::TimePoint now,
                                        net::Millis silence) const {
  auto best_weight = rendezvous_weight(key, self_);
  const Peer* best = nullptr;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone != zone_ || !is_live(peer, now, silence)) continue;
    const auto weight = rendezvous_weight(key, node);
    if (weight <= best_weight) continue;
    best_weight = weight;
    best = &peer;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

std::optional<Peer> PeerDirectory::shard_owner(int shard, net::TimePoint now,
                                               net::Millis silence) const {
  const Peer* bare = nullptr;
  for (const auto& [node, peer] : peers_) {
    if (!is_live(peer, now, silence)) continue;
    if (peer.escrow_shards.count(shard) > 0) return peer;
    if (peer.bare_shards.count(shard) > 0) bare = &peer;
  }
  if (bare == nullptr) return std::nullopt;
  return *bare;
}

std::vector<int> PeerDirectory::shards_to_claim(const std::set<int>& own, int shards,
                                                net::TimePoint now, net::Millis silence) const {
  std::set<int> owned = own;
  std::vector<const std::string*> nodes;
  for (const auto& [node, peer] : peers_) {
    if (now >= peer.last_heard + silence) continue;
    nodes.push_back(&node);
    owned.insert(peer.escrow_shards.begin(), peer.escrow_shards.end());
    owned.insert(peer.bare_shards.begin(), peer.bare_shards.end());
  }
  std::vector<int> mine;
  for (int shard = 0; shard < shards; ++shard) {
    if (owned.count(shard) > 0) continue;
    const auto key = std::to_string(shard);
    const auto weight = rendezvous_weight(key, self_);
    const bool first = std::all_of(nodes.begin(), nodes.end(), [&](const std::string* node) {
      return rendezvous_weight(key, *node) <= weight;
    });
    if (first) mine.push_back(shard);
  }
  return mine;
}

bool PeerDirectory::heard(std::int64_t incarnation, net::TimePoint now, net::Millis silence) const {
  const auto* peer = find(incarnation);
  return peer != nullptr && now < peer->last_heard + silence;
}

std::vector<Peer> PeerDirectory::reaching_store(net::TimePoint now, net::Millis silence) const {
  std::vector<Peer> near;
  std::vector<Peer> far;
  for (const auto& [node, peer] : peers_) {
    if (!peer.reaches_store || !is_live(peer, now, silence)) continue;
    (peer.zone == zone_ ? near : far).push_back(peer);
  }
  return near.empty() ? far : near;
}

EngineLoads PeerDirectory::loads(net::TimePoint now, net::Millis silence) const {
  EngineLoads sum;
  std::set<std::string> summed;
  for (const auto& [zone, known] : zone_loads_) {
    if (now >= known.taken_at + silence) continue;
    sum.add(known.loads);
    summed.insert(zone);
  }
  for (const auto& [node, peer] : peers_) {
    if (summed.count(peer.zone) == 0 && is_live(peer, now, silence)) sum.add(peer.loads);
  }
  return sum;
}

}  // namespace sailgate::cluster
