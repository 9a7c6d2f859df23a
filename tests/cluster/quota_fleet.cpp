#include "cluster/quota_fleet.hpp"

#include <algorithm>

#include "cluster/beacon_sender.hpp"

namespace sailgate::test {

namespace {

constexpr net::Millis kStep{5};
constexpr net::Millis kBeaconInterval{200};
/// Interval at which nodes refresh their membership.
constexpr net::Millis kRefreshInterval{100};
constexpr net::Millis kSummaryInterval{150};
constexpr net::Millis kSilence{2000};
constexpr net::Millis kMaxTickInterval{600};
constexpr net::Millis kMaxForwardedAge{150};
constexpr net::Millis kWindow{5000};
constexpr double kMillisPerSecond = 1000;

}  // namespace

QuotaFleet::QuotaFleet(int nodes, int zones, FleetNetwork network, std::uint64_t seed)
    : network_(network), random_(seed), nodes_(nodes), reached_(nodes) {
  for (int zone = 0; zone < zones; ++zone) zones_.push_back("zone-" + std::to_string(zone));
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    nodes_[index].name = "node-" + std::to_string(index);
    nodes_[index].zone = zones_[index % zones_.size()];
  }
  for (std::size_t index = 0; index < nodes_.size(); ++index) start(index);
  // Starts with a cluster that has been running for longer than a window.
  advance(2 * kWindow);
}

void QuotaFleet::start(std::size_t index) {
  auto& node = nodes_[index];
  node.incarnation = ++incarnations_;
  node.started_at = now_;
  node.directory = std::make_unique<cluster::PeerDirectory>(node.name, node.zone);
  node.directory->set_incarnation(node.incarnation);
  node.quotas = std::make_unique<cluster::TenantQuotas>(*node.directory, quota::Bounds{},
                                                        node.started_at, random_.below(UINT64_MAX));
  node.next_beacon =
      now_ + net::Millis(static_cast<std::int64_t>(random_.below(kBeaconInterval.count())));
  node.next_summary = now_ + kBeaconInterval;
  // Every node knows every other one from the rows of the store.
  node.directory->mark_complete();
  const auto introduce = [&](Node& to, const Node& of) {
    wire::PeerRow row;
    row.incarnation = of.incarnation;
    row.zone = of.zone;
    row.address = "127.0.0.1";
    row.port = 7000;
    to.directory->put(of.name, row, now_);
  };
  node.next_refresh = now_;
  node.stalls = cluster::StallDetector(now_);
  for (auto& other : nodes_) {
    if (other.directory == nullptr || other.name == node.name) continue;
    introduce(other, node);
    introduce(node, other);
  }
}

wire::Beacon QuotaFleet::beacon_of(Node& node) const {
  wire::Beacon beacon;
  beacon.incarnation = node.incarnation;
  beacon.reaches_store = true;
  auto reports = node.quotas->told(now_);
  if (!reports.empty()) beacon.__set_tenants(std::move(reports));
  const auto uptime = std::chrono::duration_cast<net::Millis>(now_ - node.started_at);
  beacon.__set_uptime_ms(static_cast<std::int32_t>(uptime.count()));
  beacon.__set_sent_ms(uptime.count());
  auto silent = node.directory->silent_processes_to_relay(now_, kSilence, kWindow, node.turn++);
  if (!silent.empty()) beacon.__set_silent(std::move(silent));
  return beacon;
}

bool QuotaFleet::reaches(const Node& from, const Node& to) const { return from.side == to.side; }

void QuotaFleet::send_to(const Node& from, std::size_t to,
                         std::shared_ptr<const wire::Beacon> beacon) {
  if (!reaches(from, nodes_[to]) || draw() < network_.loss) return;
  messages_.push({now_ + network_.delay, to, std::move(beacon)});
}

void QuotaFleet::send_beacons(Node& node) {
  const auto beacon = std::make_shared<const wire::Beacon>(beacon_of(node));
  send_to_zone(node, beacon);
  node.stalls.tick(now_, kMaxTickInterval);
  node.next_beacon = now_ + kBeaconInterval;
  node.urgent_from = now_ + cluster::BeaconSender::min_send_gap(nodes_.size());
}

void QuotaFleet::send_to_zone(const Node& from, const std::shared_ptr<const wire::Beacon>& beacon) {
  for (std::size_t to = 0; to < nodes_.size(); ++to) {
    const auto& node = nodes_[to];
    if (node.zone == from.zone && node.name != from.name && sends_to(from, node)) {
      send_to(from, to, beacon);
    }
  }
}

bool QuotaFleet::sends_to(const Node& from, const Node& to) const {
  const auto& directory = *from.directory;
  if (directory.find(to.incarnation) != nullptr) return true;
  const auto departed = directory.departed().all().find(to.incarnation);
  return departed != directory.departed().all().end() &&
         now_ < departed->second.last_heard + kSilence;
}

void QuotaFleet::send_summary(Node& node) {
  node.stalls.tick(now_, kMaxTickInterval);
  const auto& peers = node.directory->peers();
  const auto members = 1 + std::count_if(peers.begin(), peers.end(), [&](const auto& entry) {
                         return entry.second.zone == node.zone;
                       });
  const auto longest = 2 * kSummaryInterval.count() * members;
  node.next_summary =
      now_ +
      net::Millis(static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(longest))));
  if (node.stalls.resumed_within(kBeaconInterval, now_)) return;
  if (!node.directory->heard_half_of_zone(now_, kSilence)) return;
  auto beacon = beacon_of(node);
  beacon.__set_summary(node.directory->summarize_zone(beacon, now_, kSilence, kWindow));
  const auto shared = std::make_shared<const wire::Beacon>(std::move(beacon));
  for (const auto& zone : zones_) {
    if (zone == node.zone) continue;
    std::vector<std::size_t> members;
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      const bool known = node.directory->find(nodes_[to].incarnation) != nullptr;
      if (nodes_[to].zone == zone && known) members.push_back(to);
    }
    if (!members.empty()) send_to(node, members[random_.below(members.size())], shared);
  }
}

void QuotaFleet::deliver(const Message& message) {
  auto& node = nodes_[message.receiver];
  if (node.frozen) {
    node.unread.push_back(message.beacon);
    return;
  }
  process_beacon(node, *message.beacon);
}

void QuotaFleet::process_beacon(Node& node, const wire::Beacon& beacon) {
  const auto sent_at = node.directory->on_beacon(beacon, now_).value_or(now_);
  if (!beacon.__isset.summary) return;
  node.directory->on_summary(beacon.summary, sent_at);
  if (now_ > sent_at + kMaxForwardedAge) return;
  const auto* sender = node.directory->find(beacon.incarnation);
  const bool first_hand = sender != nullptr && sender->zone == beacon.summary.zone;
  if (!first_hand || sender->zone == node.zone) return;
  auto& forwarded_at = node.forwarded_at[beacon.summary.zone];
  if (now_ < forwarded_at + kSummaryInterval) return;
  forwarded_at = now_;
  auto own = beacon_of(node);
  own.__set_summary(beacon.summary);
  send_to_zone(node, std::make_shared<const wire::Beacon>(std::move(own)));
}

void QuotaFleet::advance(net::Millis time) {
  const auto until = now_ + time;
  while (now_ < until) {
    now_ += kStep;
    while (!messages_.empty() && messages_.top().at <= now_) {
      const auto message = messages_.top();
      messages_.pop();
      deliver(message);
    }
    for (auto& node : nodes_) {
      if (node.frozen) continue;
      if (now_ >= node.next_refresh) {
        node.quotas->refresh(now_, kSilence);
        node.next_refresh = now_ + kRefreshInterval;
        retry_waiting(node);
      }
      const bool urgent = node.quotas->report_due() && now_ >= node.urgent_from;
      if (now_ >= node.next_beacon || (urgent && !summarizes())) send_beacons(node);
      if (now_ >= node.next_summary) send_summary(node);
    }
  }
}

bool QuotaFleet::request(const tenancy::Tenant& tenant, const cluster::QuotaRequest& request) {
  auto& node = nodes_[random_.below(reached_)];
  if (!node.frozen) return decide(node, tenant, request);
  node.waiting.push_back({tenant, request, now_});
  return false;
}

bool QuotaFleet::decide(Node& node, const tenancy::Tenant& tenant,
                        const cluster::QuotaRequest& request) {
  const auto admission = node.quotas->admit(tenant, request, now_);
  const bool admitted = admission.admitted;
  if (!admitted && admission.within_limit && !request.is_retry &&
      node.quotas->awaits_peer_reports(now_)) {
    const auto not_before = now_ + node.quotas->peer_report_retry_delay(now_);
    node.waiting.push_back({tenant, request, not_before});
    node.waiting.back().request.is_retry = true;
    return false;
  }
  (admitted ? admitted_ : refused_).push_back(now_);
  return admitted;
}

void QuotaFleet::retry_waiting(Node& node) {
  const auto waiting = std::exchange(node.waiting, {});
  for (const auto& request : waiting) {
    if (now_ >= request.not_before) {
      decide(node, request.tenant, request.request);
    } else {
      node.waiting.push_back(request);
    }
  }
}

void QuotaFleet::send(const tenancy::Tenant& tenant, const cluster::QuotaRequest& request,
                      double rate_per_s, net::Millis time) {
  const auto until = now_ + time;
  while (now_ < until) {
    advance(kStep);
    const double expected = rate_per_s * static_cast<double>(kStep.count()) / kMillisPerSecond;
    const auto whole = static_cast<int>(expected);
    const int count = whole + (draw() < expected - whole ? 1 : 0);
    for (int i = 0; i < count; ++i) this->request(tenant, request);
  }
}

void QuotaFleet::cut(double share) {
  int side = 0;
  for (auto& node : nodes_) node.side = share > 0 && draw() < share ? ++side : 0;
}

void QuotaFleet::split(double share) {
  for (auto& node : nodes_) node.side = draw() < share ? 1 : 0;
}

void QuotaFleet::freeze(double share) {
  for (auto& node : nodes_) node.frozen = draw() < share;
}

void QuotaFleet::resume() {
  for (auto& node : nodes_) {
    if (!node.frozen) continue;
    node.frozen = false;
    for (const auto& waiting : std::exchange(node.waiting, {})) {
      decide(node, waiting.tenant, waiting.request);
    }
    for (const auto& beacon : node.unread) process_beacon(node, *beacon);
    node.unread.clear();
  }
}

void QuotaFleet::restart(double share) {
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (draw() < share) start(index);
  }
}

void QuotaFleet::restart_first(std::size_t nodes) {
  for (std::size_t index = 0; index < nodes; ++index) start(index);
}

void QuotaFleet::crash(double share, net::Millis away) {
  std::vector<std::size_t> lost;
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (draw() < share) lost.push_back(index);
  }
  for (const auto index : lost) start(index);
  if (away == net::Millis(0)) return;
  advance(away);
  for (const auto index : lost) start(index);
}

void QuotaFleet::leave(std::size_t place, std::size_t among) {
  for (std::size_t index = place; index < nodes_.size(); index += among) {
    for (auto& other : nodes_) other.directory->remove(nodes_[index].name);
  }
}

void QuotaFleet::rejoin(std::size_t place, std::size_t among) {
  for (std::size_t index = place; index < nodes_.size(); index += among) start(index);
}

int QuotaFleet::max_in_window() const {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < admitted_.size(); ++last) {
    while (admitted_[last] - admitted_[first] >= kWindow) ++first;
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

int QuotaFleet::refused_within_limit(double limit) const {
  int count = 0;
  for (const auto time : refused_) {
    const auto begin = std::lower_bound(admitted_.begin(), admitted_.end(), time - kWindow);
    const auto end = std::upper_bound(admitted_.begin(), admitted_.end(), time);
    count += static_cast<double>(end - begin) + 1 <= limit ? 1 : 0;
  }
  return count;
}

}  // namespace sailgate::test
