#include "cluster/peer_directory.hpp"

#include <xxhash.h>

#include <algorithm>

namespace sailgate::cluster {

namespace {

constexpr net::Millis kSuspicion{600};

std::uint64_t rendezvous_weight(const std::string& key, const std::string& node) {
  return XXH64(key.data(), key.size(), XXH64(node.data(), node.size(), 0));
}

/// Starts that lie longer ago are not told: they are beyond every window over which limits count.
constexpr net::Millis kToldUptime{60'000};
/// What a zone's summary sums up is older than the summary by up to a round of beacons in the zone.
constexpr net::Millis kSummedAge{200};
/// What departed processes let through is kept this long, more than any window.
constexpr net::Millis kDepartedKept{60'000};
constexpr double kMillisPerSecond = 1000;

net::Millis between(net::TimePoint earlier, net::TimePoint later) {
  return std::chrono::duration_cast<net::Millis>(later - earlier);
}

/// Start of a process that told its uptime at `heard_at`; long ago when it told none.
net::TimePoint start_of(bool told, std::int32_t uptime_ms, net::TimePoint heard_at) {
  return told ? heard_at - net::Millis(uptime_ms) : net::TimePoint{};
}

/// Takes over what a node tells of itself.
void take_over(const wire::Beacon& beacon, net::TimePoint now, Peer& peer) {
  peer.last_heard = now;
  peer.told_of_itself = true;
  peer.reaches_store = beacon.reaches_store;
  peer.steps_aside = beacon.steps_aside;
  peer.told = figures_of(beacon);
  peer.escrow_shards = {beacon.escrow_shards.begin(), beacon.escrow_shards.end()};
  peer.bare_shards = {beacon.bare_shards.begin(), beacon.bare_shards.end()};
  peer.started_at = start_of(beacon.__isset.uptime_ms, beacon.uptime_ms, now);
}

wire::ZoneMember member_of(const Peer& peer, net::TimePoint now) {
  wire::ZoneMember member;
  member.incarnation = peer.incarnation;
  member.silent_ms = static_cast<std::int32_t>(between(peer.last_heard, now).count());
  member.reaches_store = peer.reaches_store;
  if (peer.steps_aside) member.__set_steps_aside(true);
  if (!peer.escrow_shards.empty()) {
    member.__set_escrow_shards({peer.escrow_shards.begin(), peer.escrow_shards.end()});
  }
  if (!peer.bare_shards.empty()) {
    member.__set_bare_shards({peer.bare_shards.begin(), peer.bare_shards.end()});
  }
  const auto uptime = between(peer.started_at, peer.last_heard);
  if (uptime < kToldUptime) member.__set_uptime_ms(static_cast<std::int32_t>(uptime.count()));
  return member;
}

double part_of(net::Millis span, net::Millis window) {
  return static_cast<double>(span.count()) / static_cast<double>(window.count());
}

/// Part of what a node told that may still lie within the window.
double share_in_window(net::TimePoint told_at, net::TimePoint now, net::Millis silence,
                       net::Millis window) {
  if (now < told_at + silence) return 1;
  const auto faded = between(told_at + silence, now);
  return std::max(0.0, 1.0 - part_of(faded, window));
}

/// Adds what was told at `told_at` of one tenant.
void add_told(const TenantUsages& told, std::int32_t tenant, net::TimePoint told_at,
              net::TimePoint now, net::Millis silence, net::Millis window, OthersUsage& sum) {
  const auto usage = told.find(tenant);
  if (usage == told.end()) return;
  if (now >= told_at + silence) {
    sum.silent += usage->second.window * share_in_window(told_at, now, silence, window);
    return;
  }
  sum.heard += usage->second.window;
  const double age = static_cast<double>(between(told_at, now).count()) / kMillisPerSecond;
  sum.unseen += usage->second.asked_per_s * age;
}

}  // namespace

void PeerDirectory::put(const std::string& node, const wire::PeerRow& row, net::TimePoint seen_at) {
  if (node == self_) return;
  const auto known = peers_.find(node);
  if (known != peers_.end() && known->second.incarnation == row.incarnation) return;
  forget_departed(seen_at);
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
  peer.started_at = seen_at;
  nodes_by_incarnation_[peer.incarnation] = node;
  peers_[node] = std::move(peer);
}

void PeerDirectory::remove(const std::string& node) { forget(node); }

void PeerDirectory::forget(const std::string& node) {
  const auto known = peers_.find(node);
  if (known == peers_.end()) return;
  const auto& peer = known->second;
  nodes_by_incarnation_.erase(peer.incarnation);
  if (!peer.told.tenants.empty()) {
    departed_[peer.incarnation] = {peer.zone, peer.last_heard, peer.told.tenants};
  }
  peers_.erase(known);
}

void PeerDirectory::forget_departed(net::TimePoint now) {
  for (auto entry = departed_.begin(); entry != departed_.end();) {
    const bool over = now >= entry->second.last_heard + kDepartedKept;
    entry = over ? departed_.erase(entry) : std::next(entry);
  }
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
  if (peer == nullptr) {
    const auto departed = departed_.find(beacon.incarnation);
    if (departed == departed_.end()) return false;
    departed->second.last_heard = now;
    departed->second.tenants = beacon.tenants;
    return false;
  }
  newest_store_version_ = std::max(newest_store_version_, beacon.store_version);
  take_over(beacon, now, *peer);
  return true;
}

void PeerDirectory::on_summary(const wire::ZoneSummary& summary, net::TimePoint now) {
  if (summary.zone == zone_) return;
  for (const auto& member : summary.members) {
    auto* peer = find_by(member.incarnation);
    const auto heard_at = now - net::Millis(member.silent_ms);
    if (peer == nullptr || peer->zone != summary.zone || heard_at < peer->last_heard) continue;
    peer->last_heard = heard_at;
    peer->told_of_itself = true;
    peer->reaches_store = member.reaches_store;
    peer->steps_aside = member.steps_aside;
    peer->escrow_shards = {member.escrow_shards.begin(), member.escrow_shards.end()};
    peer->bare_shards = {member.bare_shards.begin(), member.bare_shards.end()};
    peer->started_at = start_of(member.__isset.uptime_ms, member.uptime_ms, heard_at);
  }
  zone_sums_[summary.zone] = {figures_of(summary), now};
}

wire::ZoneSummary PeerDirectory::summarize_zone(const wire::Beacon& own, net::TimePoint now,
                                                net::Millis silence, net::Millis window) const {
  Peer self;
  self.incarnation = own.incarnation;
  take_over(own, now, self);
  wire::ZoneSummary summary;
  summary.zone = zone_;
  ToldFigures sum;
  const auto add = [&](const Peer& peer) {
    const bool heard = now < peer.last_heard + silence;
    add_usages(peer.told.tenants, share_in_window(peer.last_heard, now, silence, window),
               sum.tenants);
    if (!heard) return;
    summary.members.push_back(member_of(peer, now));
    sum.add(peer.told);
  };
  add(self);
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_) add(peer);
  }
  for (const auto& [incarnation, departed] : departed_) {
    if (departed.zone != zone_) continue;
    add_usages(departed.tenants, share_in_window(departed.last_heard, now, silence, window),
               sum.tenants);
  }
  tell(sum, summary);
  return summary;
}

void PeerDirectory::suspect(const std::string& node, net::TimePoint now) {
  const auto peer = peers_.find(node);
  if (peer == peers_.end()) return;
  peer->second.suspected_at = now;
  peer->second.suspected_until = now + kSuspicion;
}

void PeerDirectory::suspect_zone(const std::string& zone, net::TimePoint now) {
  for (auto& [node, peer] : peers_) {
    if (peer.zone != zone) continue;
    peer.suspected_at = now;
    peer.suspected_until = now + kSuspicion;
  }
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

OthersUsage PeerDirectory::usage_of_others(std::int32_t tenant, net::TimePoint now,
                                           net::Millis silence, net::Millis window) const {
  OthersUsage sum;
  std::set<std::string> summed;
  for (const auto& [zone, known] : zone_sums_) {
    add_told(known.told.tenants, tenant, known.taken_at - kSummedAge, now, silence, window, sum);
    summed.insert(zone);
  }
  for (const auto& [node, peer] : peers_) {
    if (summed.count(peer.zone) > 0) continue;
    add_told(peer.told.tenants, tenant, peer.last_heard, now, silence, window, sum);
  }
  for (const auto& [incarnation, departed] : departed_) {
    if (summed.count(departed.zone) > 0) continue;
    add_told(departed.tenants, tenant, departed.last_heard, now, silence, window, sum);
  }
  return sum;
}

Membership PeerDirectory::membership(net::TimePoint now, net::Millis silence, net::Millis window,
                                     net::TimePoint started_at) const {
  const auto young = [&](net::TimePoint start) {
    return std::max(0.0, 1.0 - part_of(between(start, now), window));
  };
  Membership membership;
  membership.complete = complete_;
  membership.young = young(started_at);
  for (const auto& [node, peer] : peers_) {
    ++membership.known;
    if (peer.told_of_itself && now < peer.last_heard + silence) ++membership.heard;
    membership.young += young(peer.started_at);
  }
  membership.young /= static_cast<double>(membership.known);
  return membership;
}

template <typename Visit>
void PeerDirectory::for_each_live(net::TimePoint now, net::Millis silence,
                                  const Visit& visit) const {
  std::set<std::string> summed;
  for (const auto& [zone, known] : zone_sums_) {
    if (now >= known.taken_at + silence) continue;
    visit(known.told);
    summed.insert(zone);
  }
  for (const auto& [node, peer] : peers_) {
    if (summed.count(peer.zone) == 0 && is_live(peer, now, silence)) visit(peer.told);
  }
}

EngineLoads PeerDirectory::loads(net::TimePoint now, net::Millis silence) const {
  EngineLoads sum;
  for_each_live(now, silence, [&](const ToldFigures& told) { sum.add(told.loads); });
  return sum;
}

EngineLoads PeerDirectory::failures(net::TimePoint now, net::Millis silence) const {
  EngineLoads sum;
  for_each_live(now, silence, [&](const ToldFigures& told) { sum.add(told.failures); });
  return sum;
}

CountByKey PeerDirectory::begun(net::TimePoint now, net::Millis silence) const {
  CountByKey sum;
  for_each_live(now, silence, [&](const ToldFigures& told) { add_counts(told.begun, sum); });
  return sum;
}

ToldFigures PeerDirectory::figures(net::TimePoint now, net::Millis silence) const {
  ToldFigures sum;
  for_each_live(now, silence, [&](const ToldFigures& told) { sum.add(told); });
  return sum;
}

}  // namespace sailgate::cluster
