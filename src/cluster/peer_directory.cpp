#include "cluster/peer_directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>

#include "cluster/plain_members.hpp"

namespace sailgate::cluster {

namespace {

/// Time after a failed call during which a peer is not used.
constexpr net::Millis kSuspicionPeriod{600};

std::uint64_t rendezvous_weight(const std::string& key, const std::string& node) {
  return XXH64(key.data(), key.size(), XXH64(node.data(), node.size(), 0));
}

/// Longer uptimes are not reported: the start lies outside every window of a limit.
constexpr net::Millis kMaxReportedUptime{60'000};

net::Millis between(net::TimePoint earlier, net::TimePoint later) {
  return std::chrono::duration_cast<net::Millis>(later - earlier);
}

/// Start of a process that reported its uptime at `heard_at`; the epoch if it reported none.
net::TimePoint start_time_of(bool has_uptime, std::int32_t uptime_ms, net::TimePoint heard_at) {
  return has_uptime ? heard_at - net::Millis(uptime_ms) : net::TimePoint{};
}

/// Applies what a node reports about itself.
void apply_beacon(const wire::Beacon& beacon, net::TimePoint now, Peer& peer) {
  peer.last_heard = std::max(peer.last_heard, now);
  peer.reported_at = std::max(peer.reported_at, now);
  peer.has_reported = true;
  peer.reaches_store = beacon.reaches_store;
  peer.steps_aside = beacon.steps_aside;
  peer.stats = extract_stats(beacon);
  peer.escrow_shards = {beacon.escrow_shards.begin(), beacon.escrow_shards.end()};
  peer.bare_shards = {beacon.bare_shards.begin(), beacon.bare_shards.end()};
  peer.started_at = start_time_of(beacon.__isset.uptime_ms, beacon.uptime_ms, now);
}

/// Peers that started within this time are sent records of processes that they never heard.
constexpr net::Millis kNewcomerPeriod{2000};

/// Tenant usages of silent processes in one beacon, at about 20 bytes each. The last process added
/// may exceed the limit.
constexpr std::size_t kMaxRelayedUsages = 60;

/// Time after its start by which a process receives the beacons of the others.
constexpr net::Millis kDiscoveryTime{500};

/// Losses of a whole zone that are kept, because their requests may lie in the same window.
constexpr std::size_t kMaxKeptZoneLosses = 4;

/// Whether all processes of the zone started after `time`.
bool all_began_after(const wire::ZoneSummary& summary, net::TimePoint time, net::TimePoint now) {
  // The starts of plain members are not reported.
  if (!summary.plain.empty()) return false;
  return std::all_of(summary.members.begin(), summary.members.end(), [&](const auto& member) {
    const auto heard_at = now - net::Millis(member.silent_ms);
    return member.__isset.uptime_ms && heard_at - net::Millis(member.uptime_ms) > time;
  });
}

wire::ZoneMember make_member(const Peer& peer, net::TimePoint now) {
  wire::ZoneMember member;
  member.incarnation = peer.incarnation;
  member.silent_ms = static_cast<std::int32_t>(between(peer.reported_at, now).count());
  member.reaches_store = peer.reaches_store;
  if (peer.steps_aside) member.__set_steps_aside(true);
  if (!peer.escrow_shards.empty()) {
    member.__set_escrow_shards({peer.escrow_shards.begin(), peer.escrow_shards.end()});
  }
  if (!peer.bare_shards.empty()) {
    member.__set_bare_shards({peer.bare_shards.begin(), peer.bare_shards.end()});
  }
  const auto uptime = between(peer.started_at, peer.reported_at);
  if (uptime < kMaxReportedUptime)
    member.__set_uptime_ms(static_cast<std::int32_t>(uptime.count()));
  return member;
}

/// Whether a short entry says all about the peer that other nodes need to know.
bool is_plain(const Peer& peer) {
  return peer.reaches_store && !peer.steps_aside && peer.escrow_shards.empty() &&
         peer.bare_shards.empty();
}

DepartedPeer make_departed(const Peer& peer, bool replaced) {
  DepartedPeer departed;
  departed.node = peer.node;
  departed.zone = peer.zone;
  departed.endpoint = peer.endpoint;
  departed.last_heard = peer.last_heard;
  departed.tenants = peer.stats.tenants;
  departed.left_at = peer.last_heard;
  departed.replaced = replaced;
  departed.reported = peer.has_reported;
  departed.started_at = peer.started_at;
  return departed;
}

wire::SilentProcess silent_process_of(std::int64_t incarnation, const DepartedPeer& lost,
                                      net::TimePoint now) {
  wire::SilentProcess process;
  process.node = lost.node;
  process.incarnation = incarnation;
  process.zone = lost.zone;
  process.silent_ms = static_cast<std::int32_t>(between(lost.last_heard, now).count());
  process.tenants = lost.tenants;
  const auto uptime = between(lost.started_at, lost.last_heard);
  if (uptime < kMaxReportedUptime)
    process.__set_uptime_ms(static_cast<std::int32_t>(uptime.count()));
  return process;
}

}  // namespace

void PeerDirectory::put(const std::string& node, const wire::PeerRow& row, net::TimePoint seen_at) {
  if (node == self_) return;
  const auto known = peers_.find(node);
  if (known != peers_.end() && known->second.incarnation == row.incarnation) return;
  departed_.evict_expired(seen_at);
  retire(node, true);
  net::Error error;
  const auto address = net::asio::ip::make_address(row.address, error);
  if (error) return;
  Peer peer;
  peer.node = node;
  peer.incarnation = row.incarnation;
  peer.zone = row.zone;
  peer.endpoint = {address, static_cast<std::uint16_t>(row.port)};
  peer.last_heard = seen_at;
  peer.reported_at = seen_at;
  peer.started_at = seen_at;
  peer.reads_digests = row.reads_digests;
  nodes_by_incarnation_[peer.incarnation] = node;
  nodes_by_short_id_[short_id_of(peer.incarnation)] = node;
  if (peer.zone == zone_) ++zone_peers_;
  if (peer.reads_digests) ++peers_reading_digests_;
  peers_[node] = std::move(peer);
}

void PeerDirectory::remove(const std::string& node) { retire(node, false); }

void PeerDirectory::retire(const std::string& node, bool replaced) {
  const auto known = peers_.find(node);
  if (known == peers_.end()) return;
  const auto& peer = known->second;
  nodes_by_incarnation_.erase(peer.incarnation);
  nodes_by_short_id_.erase(short_id_of(peer.incarnation));
  if (peer.zone == zone_) --zone_peers_;
  if (peer.reads_digests) --peers_reading_digests_;
  // A record that peers relayed is kept if this node never heard the process itself.
  if (peer.has_reported || departed_.all().count(peer.incarnation) == 0) {
    departed_.add(peer.incarnation, make_departed(peer, replaced));
  }
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

std::optional<net::TimePoint> PeerDirectory::on_beacon(const wire::Beacon& beacon,
                                                       net::TimePoint now) {
  auto* peer = find_by(beacon.incarnation);
  if (peer == nullptr) {
    departed_.on_beacon(beacon.incarnation, beacon.tenants, now);
    return std::nullopt;
  }
  newest_store_version_ = std::max(newest_store_version_, beacon.store_version);
  newest_configuration_version_ =
      std::max(newest_configuration_version_, beacon.configuration_version);
  departed_.erase(beacon.incarnation);
  auto sent_at = now;
  if (beacon.__isset.sent_ms) sent_at -= peer->lateness.of(beacon.sent_ms, now);
  for (const auto& process : beacon.silent) merge_silent_process(process, sent_at);
  // Beacons may arrive out of order.
  if (sent_at >= peer->last_heard || !peer->has_reported) apply_beacon(beacon, sent_at, *peer);
  return sent_at;
}

void PeerDirectory::merge_silent_process(const wire::SilentProcess& process,
                                         net::TimePoint sent_at) {
  if (process.incarnation == incarnation_) return;
  const auto* peer = find(process.incarnation);
  if (peer != nullptr && peer->has_reported) return;
  const auto heard_at = sent_at - net::Millis(process.silent_ms);
  const auto known = departed_.all().find(process.incarnation);
  const bool heard = known != departed_.all().end() && known->second.reported;
  if (heard && known->second.last_heard >= heard_at) return;
  DepartedPeer departed;
  departed.node = process.node;
  departed.zone = process.zone;
  departed.last_heard = heard_at;
  departed.tenants = process.tenants;
  departed.left_at = heard_at;
  departed.replaced = true;
  departed.reported = true;
  departed.started_at = start_time_of(process.__isset.uptime_ms, process.uptime_ms, heard_at);
  departed_.add(process.incarnation, std::move(departed));
}

bool PeerDirectory::has_newcomers(net::TimePoint heard_at, net::TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto began = entry.second.started_at;
    return began + kDiscoveryTime > heard_at && now < began + kNewcomerPeriod;
  });
}

std::vector<wire::SilentProcess> PeerDirectory::silent_processes_to_relay(net::TimePoint now,
                                                                          net::Millis silence,
                                                                          net::Millis window,
                                                                          std::size_t turn) const {
  std::vector<wire::SilentProcess> candidates;
  const auto consider = [&](std::int64_t incarnation, const DepartedPeer& lost) {
    // Processes of other zones are covered by the summaries of their zones.
    if (zone_sums_.count(lost.zone) > 0 || now >= lost.last_heard + window) return;
    if (has_newcomers(lost.last_heard, now))
      candidates.push_back(silent_process_of(incarnation, lost, now));
  };
  for (const auto& [node, peer] : peers_) {
    const bool is_silent = peer.has_reported && now >= peer.last_heard + silence / 2;
    if (is_silent) consider(peer.incarnation, make_departed(peer, false));
  }
  for (const auto& [incarnation, departed] : departed_.all()) {
    if (departed.reported) consider(incarnation, departed);
  }
  std::vector<wire::SilentProcess> relayed;
  std::size_t usages = 0;
  for (std::size_t i = 0; i < candidates.size() && usages < kMaxRelayedUsages; ++i) {
    auto& next = candidates[(turn + i) % candidates.size()];
    usages += next.tenants.size();
    relayed.push_back(std::move(next));
  }
  return relayed;
}

bool PeerDirectory::hear_of(Peer* peer, const std::string& zone, net::TimePoint heard_at) {
  if (peer == nullptr || peer->zone != zone || heard_at < peer->last_heard) return false;
  peer->last_heard = heard_at;
  peer->has_reported = true;
  return true;
}

void PeerDirectory::apply_members(const wire::ZoneSummary& summary, net::TimePoint now) {
  for (const auto& member : summary.members) {
    auto* peer = find_by(member.incarnation);
    const auto heard_at = now - net::Millis(member.silent_ms);
    if (!hear_of(peer, summary.zone, heard_at)) continue;
    peer->reaches_store = member.reaches_store;
    peer->steps_aside = member.steps_aside;
    peer->escrow_shards = {member.escrow_shards.begin(), member.escrow_shards.end()};
    peer->bare_shards = {member.bare_shards.begin(), member.bare_shards.end()};
    peer->started_at = start_time_of(member.__isset.uptime_ms, member.uptime_ms, heard_at);
  }
  for (const auto& member : decode_plain_members(summary.plain)) {
    const auto node = nodes_by_short_id_.find(member.short_id);
    auto* peer = node == nodes_by_short_id_.end() ? nullptr : &peers_.at(node->second);
    if (!hear_of(peer, summary.zone, now - member.silence)) continue;
    peer->reaches_store = true;
    peer->steps_aside = false;
    peer->escrow_shards.clear();
    peer->bare_shards.clear();
  }
}

void PeerDirectory::on_digest(const wire::ZoneSummary& digest, net::TimePoint now) {
  if (digest.zone != zone_) return;
  apply_members(digest, now);
  if (digest.partial || now < own_digest_.summarized_at) return;
  own_digest_.stats = extract_stats(digest);
  own_digest_.summarized_at = now;
}

void PeerDirectory::on_summary(const wire::ZoneSummary& summary, net::TimePoint now) {
  if (summary.zone == zone_) return;
  apply_members(summary, now);
  auto& known = zone_sums_[summary.zone];
  if (now < known.summarized_at) return;
  if (all_began_after(summary, known.summarized_at, now)) {
    known.lost.push_back({known.stats.tenants, known.summarized_at});
    if (known.lost.size() > kMaxKeptZoneLosses) known.lost.erase(known.lost.begin());
  }
  known.stats = extract_stats(summary);
  known.summarized_at = now;
  known.member_silence.clear();
  for (const auto& member : summary.members) {
    known.member_silence.emplace_back(member.silent_ms);
  }
  for (const auto& member : decode_plain_members(summary.plain)) {
    known.member_silence.push_back(member.silence);
  }
}

wire::ZoneSummary PeerDirectory::summarize_zone(const wire::Beacon& own, net::TimePoint now,
                                                net::Millis silence, net::Millis window,
                                                MemberDetail detail) const {
  Peer self;
  self.incarnation = own.incarnation;
  apply_beacon(own, now, self);
  wire::ZoneSummary summary;
  summary.zone = zone_;
  NodeStats sum;
  const bool compact = detail == MemberDetail::kCompact && all_read_digests();
  std::vector<PlainMember> plain;
  const auto add = [&](const Peer& peer) {
    const bool heard = now < peer.reported_at + silence;
    merge_usages(peer.stats.tenants, {between(peer.reported_at, now), window, heard}, sum.tenants);
    if (!heard) return;
    if (compact && is_plain(peer)) {
      plain.push_back({short_id_of(peer.incarnation), between(peer.reported_at, now)});
    } else {
      summary.members.push_back(make_member(peer, now));
    }
    sum.add(peer.stats);
  };
  add(self);
  for (const auto& [node, peer] : peers_) {
    if (peer.zone == zone_) add(peer);
  }
  for (const auto& [incarnation, departed] : departed_.all()) {
    if (departed.zone != zone_) continue;
    const bool heard = now < departed.last_heard + silence;
    merge_usages(departed.tenants, {between(departed.last_heard, now), window, heard}, sum.tenants);
  }
  if (!plain.empty()) summary.__set_plain(encode_plain_members(plain));
  write_stats(sum, summary);
  return summary;
}

void PeerDirectory::note_stall(net::TimePoint from, net::TimePoint now, net::Millis silence) {
  for (auto& [node, peer] : peers_) {
    if (from < peer.last_sign_of_life() + silence) peer.presumed_live_at = now;
  }
}

bool PeerDirectory::heard_half_of_zone(net::TimePoint now, net::Millis silence) const {
  std::size_t possibly_live = 0;
  std::size_t reported = 0;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone != zone_ || now >= peer.last_heard + silence) continue;
    ++possibly_live;
    if (peer.has_reported && now < peer.reported_at + silence) ++reported;
  }
  return 2 * reported >= possibly_live;
}

void PeerDirectory::suspect(const std::string& node, net::TimePoint now) {
  const auto peer = peers_.find(node);
  if (peer == peers_.end()) return;
  peer->second.suspected_at = now;
  peer->second.suspected_until = now + kSuspicionPeriod;
}

void PeerDirectory::suspect_zone(const std::string& zone, net::TimePoint now) {
  for (auto& [node, peer] : peers_) {
    if (peer.zone != zone) continue;
    peer.suspected_at = now;
    peer.suspected_until = now + kSuspicionPeriod;
  }
}

bool PeerDirectory::is_live(const Peer& peer, net::TimePoint now, net::Millis silence) {
  if (now >= peer.last_sign_of_life() + silence || now < peer.suspected_until) return false;
  const bool suspected = peer.suspected_at != net::TimePoint{};
  return !suspected || peer.last_heard > peer.suspected_at;
}

std::vector<const Peer*> PeerDirectory::rendezvous_peers(const std::string& key, std::size_t count,
                                                         net::TimePoint now,
                                                         net::Millis silence) const {
  std::vector<std::pair<std::uint64_t, const Peer*>> order;
  for (const auto& [node, peer] : peers_) {
    if (is_live(peer, now, silence)) order.emplace_back(rendezvous_weight(key, node), &peer);
  }
  const auto chosen = std::min(count, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(chosen), order.end(),
                    std::greater<>());
  std::vector<const Peer*> peers;
  peers.reserve(chosen);
  for (std::size_t i = 0; i < chosen; ++i) peers.push_back(order[i].second);
  return peers;
}

std::vector<const Peer*> PeerDirectory::collectors(const std::string& zone, std::size_t count,
                                                   net::TimePoint now, net::Millis silence) const {
  static const std::string order_key = "collector";
  std::vector<std::pair<std::uint64_t, const Peer*>> order;
  for (const auto& [node, peer] : peers_) {
    if (peer.zone != zone || !is_live(peer, now, silence)) continue;
    order.emplace_back(rendezvous_weight(order_key, node), &peer);
  }
  if (zone == zone_) order.emplace_back(rendezvous_weight(order_key, self_), nullptr);
  const auto chosen = std::min(count, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(chosen), order.end(),
                    std::greater<>());
  std::vector<const Peer*> collectors;
  for (std::size_t i = 0; i < chosen; ++i) {
    if (order[i].second != nullptr) collectors.push_back(order[i].second);
  }
  return collectors;
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
    if (now >= peer.last_sign_of_life() + silence) continue;
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
  return peer != nullptr && now < peer->last_sign_of_life() + silence;
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

template <typename Visit>
void PeerDirectory::for_each_live(net::TimePoint now, net::Millis silence,
                                  const Visit& visit) const {
  std::set<std::string> summed;
  for (const auto& [zone, known] : zone_sums_) {
    if (now >= known.summarized_at + silence) continue;
    visit(known.stats);
    summed.insert(zone);
  }
  if (has_digest(now, silence)) {
    visit(own_digest_.stats);
    summed.insert(zone_);
  }
  for (const auto& [node, peer] : peers_) {
    // What a peer reported itself expires, also while others report that it is alive.
    const bool reports = peer.last_heard < peer.reported_at + silence;
    if (reports && summed.count(peer.zone) == 0 && is_live(peer, now, silence)) visit(peer.stats);
  }
}

EngineLoads PeerDirectory::loads(net::TimePoint now, net::Millis silence) const {
  EngineLoads sum;
  for_each_live(now, silence, [&](const NodeStats& stats) { sum.add(stats.loads); });
  return sum;
}

EngineLoads PeerDirectory::failures(net::TimePoint now, net::Millis silence) const {
  EngineLoads sum;
  for_each_live(now, silence, [&](const NodeStats& stats) { sum.add(stats.failures); });
  return sum;
}

CountByKey PeerDirectory::begun(net::TimePoint now, net::Millis silence) const {
  CountByKey sum;
  for_each_live(now, silence, [&](const NodeStats& stats) { add_counts(stats.begun, sum); });
  return sum;
}

NodeStats PeerDirectory::live_stats(net::TimePoint now, net::Millis silence) const {
  NodeStats sum;
  for_each_live(now, silence, [&](const NodeStats& stats) { sum.add(stats); });
  return sum;
}

}  // namespace sailgate::cluster
