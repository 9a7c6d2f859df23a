#include "cluster/beacon_sender.hpp"

#include <algorithm>

#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

/// Duration of a round while there are few peers.
constexpr net::Millis kMinRoundTime{200};
/// Minimum time between two beacons, which delays urgent ones. With more than 6 peers it is
/// kTimePerPeer for each.
constexpr net::Millis kMinSendGap{20};
/// With many peers, a round takes this long for each of them.
constexpr net::Millis kTimePerPeer{3};
/// A peer counts as lost after this many rounds without a beacon from it.
constexpr int kMissedBeaconsBeforeLost = 4;
/// With more peers, a round over all of them would take longer than kMinRoundTime.
constexpr std::size_t kMaxDirectPeers = 66;
/// Mean interval at which the nodes of a zone together send a summary to each other zone. Each node
/// draws its times independently.
constexpr net::Millis kSummaryInterval{150};
/// A summary that arrives sooner after the last relayed one of its zone is not relayed.
constexpr net::Millis kMinRelayInterval{150};
/// Maximum additional age of what is known about nodes of other zones: eight mean summary
/// intervals. A longer gap occurs once in about 3000 gaps.
constexpr net::Millis kMaxSummaryAge{1200};
/// With more peers in a zone, beacons go to collectors: a round over all of them would take longer
/// than kMinRoundTime.
constexpr std::size_t kMaxDirectZone = kMaxDirectPeers;
/// The loss of two collectors at once is borne without a pause in the digests.
constexpr std::size_t kCollectors = 3;
/// Interval between a collector's digests for a node. With three collectors, reports about a node
/// are some 0.2 s old when used, half of it from the interval between its beacons.
constexpr net::Millis kDigestInterval{400};
/// A collector spreads a digest's datagrams over the interval in this many parts: 150 datagrams of
/// 1 KB at once would occupy a link of 30 Mbit/s for 40 ms.
constexpr int kDigestParts = 8;
/// Without a digest for this time, more than twice the interval, beacons go to the whole zone.
constexpr net::Millis kMaxDigestGap{1000};
/// In zones with collectors, a zone's summary is relayed once in this time by any node.
constexpr net::Millis kZoneRelayInterval{250};
/// A process that sent nothing for this many rounds was stalled.
constexpr int kStallRounds = 3;
/// A summary that was read later than this after it was sent is not relayed, because the receivers
/// would take it for current.
constexpr net::Millis kMaxRelayDelay{150};
/// First byte of a notice. No beacon begins with it: it names a field type that does not exist.
constexpr char kNoticeMark = '\xff';

}  // namespace

BeaconSender::BeaconSender(net::asio::io_context& context, const net::Endpoint& endpoint,
                           PeerDirectory& directory, std::function<wire::Beacon()> compose,
                           std::uint64_t seed)
    : context_(context),
      socket_(context, net::asio::ip::udp::endpoint(endpoint.address(), endpoint.port())),
      directory_(directory),
      compose_(std::move(compose)),
      random_(seed),
      stalls_(net::Clock::now()) {}

net::Millis BeaconSender::round_time(std::size_t peers) {
  return std::max(kMinRoundTime, kTimePerPeer * static_cast<std::int64_t>(peers));
}

net::Millis BeaconSender::silence_limit() const {
  const auto direct = round_time() * kMissedBeaconsBeforeLost;
  return summarizes() ? direct + kMaxSummaryAge : direct;
}

bool BeaconSender::summarizes() const { return directory_.peers().size() > kMaxDirectPeers; }

bool BeaconSender::uses_collectors() const {
  return directory_.zone_peers() > kMaxDirectZone && !needs_all_();
}

bool BeaconSender::collects(net::TimePoint now) const {
  return now < collected_at_ + kMissedBeaconsBeforeLost * kMinRoundTime;
}

std::vector<const Peer*> BeaconSender::zone_peers() const {
  std::vector<const Peer*> peers;
  for (const auto& [node, peer] : directory_.peers()) {
    if (peer.zone == directory_.zone()) peers.push_back(&peer);
  }
  return peers;
}

std::vector<const Peer*> BeaconSender::receivers() const {
  if (summarizes()) return zone_peers();
  std::vector<const Peer*> receivers;
  for (const auto& [node, peer] : directory_.peers()) receivers.push_back(&peer);
  return receivers;
}

std::size_t BeaconSender::receiver_count() const {
  if (uses_collectors()) return kCollectors;
  return summarizes() ? directory_.zone_peers() : directory_.peers().size();
}

void BeaconSender::start() {
  net::asio::co_spawn(context_, send(), net::asio::detached);
  net::asio::co_spawn(context_, send_summaries(), net::asio::detached);
  net::asio::co_spawn(context_, send_digests(), net::asio::detached);
  net::asio::co_spawn(context_, receive(), net::asio::detached);
}

void BeaconSender::send_to(const net::Endpoint& endpoint, const std::string& bytes) {
  const net::asio::ip::udp::endpoint receiver(endpoint.address(), endpoint.port());
  // Send errors are ignored: the next beacon replaces a lost one.
  net::Error ignored;
  socket_.send_to(net::asio::buffer(bytes), receiver, 0, ignored);
}

void BeaconSender::send_notice(const Peer& peer, const std::string& text) {
  send_to(peer.endpoint, kNoticeMark + text);
}

void BeaconSender::send_to_all(const std::vector<const Peer*>& peers, const std::string& bytes) {
  for (const auto* peer : peers) send_to(peer->endpoint, bytes);
  // A departed process keeps admitting requests until it ends. Without beacons it would either
  // exceed the limits or refuse requests that they allow.
  for (const auto* peer : directory_.departed().serving(net::Clock::now(), silence_limit())) {
    if (!summarizes() || peer->zone == directory_.zone()) send_to(peer->endpoint, bytes);
  }
}

void BeaconSender::send_to_collectors(wire::Beacon beacon) {
  const auto now = net::Clock::now();
  const auto collectors =
      directory_.collectors(directory_.zone(), kCollectors, now, silence_limit());
  const bool digests_missing = now >= digest_at_ + kMaxDigestGap;
  std::vector<const Peer*> others;
  for (const auto* peer : zone_peers()) {
    const bool collector =
        std::find(collectors.begin(), collectors.end(), peer) != collectors.end();
    if (!collector && (digests_missing || !peer->reads_digests)) others.push_back(peer);
  }
  send_to_all(others, encode_beacon(beacon));
  beacon.__set_to_collector(true);
  const auto bytes = encode_beacon(std::move(beacon));
  for (const auto* peer : collectors) send_to(peer->endpoint, bytes);
}

net::asio::awaitable<void> BeaconSender::send() {
  while (true) {
    stalls_.tick(net::Clock::now(), round_time() * kStallRounds);
    if (uses_collectors()) {
      send_to_collectors(compose_());
    } else {
      send_to_all(receivers(), encode_beacon(compose_()));
    }
    co_await wait_for_round();
  }
}

net::Millis BeaconSender::min_send_gap(std::size_t peers) {
  return std::max(kMinSendGap, kTimePerPeer * static_cast<std::int64_t>(peers));
}

net::asio::awaitable<void> BeaconSender::wait_for_round() {
  const auto until = net::Clock::now() + round_time();
  const auto gap = summarizes() ? round_time() : min_send_gap(receiver_count());
  while (net::Clock::now() < until) {
    co_await net::sleep_for(context_, gap);
    if (urgent_()) co_return;
  }
}

net::Millis BeaconSender::draw_summary_delay() {
  if (uses_collectors()) return kDigestInterval;
  const auto members = static_cast<std::int64_t>(receiver_count()) + 1;
  const auto longest = 2 * kSummaryInterval * members;
  return net::Millis(
      static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(longest.count()))));
}

std::vector<const Peer*> BeaconSender::summary_receivers() {
  const auto now = net::Clock::now();
  struct Candidates {
    std::vector<const Peer*> live;
    std::vector<const Peer*> all;
  };
  std::map<std::string, Candidates> by_zone;
  for (const auto& [node, peer] : directory_.peers()) {
    if (peer.zone == directory_.zone()) continue;
    auto& candidates = by_zone[peer.zone];
    candidates.all.push_back(&peer);
    if (PeerDirectory::is_live(peer, now, silence_limit())) candidates.live.push_back(&peer);
  }
  std::vector<const Peer*> chosen;
  for (const auto& [zone, candidates] : by_zone) {
    // After a partition, two zones count each other's nodes as lost. Sending to nodes that count as
    // lost lets them find each other again.
    const auto& from = candidates.live.empty() ? candidates.all : candidates.live;
    chosen.push_back(from[random_.below(from.size())]);
  }
  return chosen;
}

bool BeaconSender::has_zone_view(net::TimePoint now) const {
  // A node that was stalled or has just started must first receive a round of its zone's beacons:
  // its summary would otherwise be outdated or cover only itself.
  return !stalls_.resumed_within(round_time(), now) &&
         directory_.heard_half_of_zone(now, silence_limit());
}

wire::Beacon BeaconSender::compose_summary(net::TimePoint now) {
  auto beacon = compose_();
  const auto detail = uses_collectors() ? MemberDetail::kCompact : MemberDetail::kFull;
  beacon.__set_summary(
      directory_.summarize_zone(beacon, now, silence_limit(), usage_window_, detail));
  return beacon;
}

net::asio::awaitable<void> BeaconSender::send_summaries() {
  while (true) {
    co_await net::sleep_for(context_, summarizes() ? draw_summary_delay() : kMinRoundTime);
    const auto now = net::Clock::now();
    stalls_.tick(now, round_time() * kStallRounds);
    if (!summarizes() || !has_zone_view(now)) continue;
    if (uses_collectors() && !collects(now)) continue;
    const auto bytes = encode_beacon(compose_summary(now));
    for (const auto* peer : summary_receivers()) send_to(peer->endpoint, bytes);
  }
}

void BeaconSender::send_digest_to(const std::vector<const Peer*>& peers) {
  const auto now = net::Clock::now();
  auto beacon = compose_summary(now);
  if (!has_zone_view(now)) beacon.summary.__set_partial(true);
  const auto bytes = encode_beacon(std::move(beacon));
  for (const auto* peer : peers) send_to(peer->endpoint, bytes);
}

net::asio::awaitable<void> BeaconSender::send_digests() {
  int part = 0;
  while (true) {
    const bool active = uses_collectors() && collects(net::Clock::now());
    co_await net::sleep_for(context_, active ? kDigestInterval / kDigestParts : kDigestInterval);
    if (!active) continue;
    part = (part + 1) % kDigestParts;
    const auto peers = zone_peers();
    std::vector<const Peer*> addressed;
    for (auto i = static_cast<std::size_t>(part); i < peers.size(); i += kDigestParts) {
      if (peers[i]->reads_digests) addressed.push_back(peers[i]);
    }
    send_digest_to(addressed);
  }
}

bool BeaconSender::relays(const wire::ZoneSummary& summary, const Peer& sender,
                          net::TimePoint sent_at, net::TimePoint now) {
  auto& relayed_at = relayed_at_[summary.zone];
  if (sender.zone == directory_.zone()) {
    // In a large zone one relay for all of its nodes is enough.
    if (uses_collectors()) relayed_at = now;
    return false;
  }
  const bool first_hand = sender.zone == summary.zone;
  if (!first_hand || now > sent_at + kMaxRelayDelay) return false;
  if (now < relayed_at + (uses_collectors() ? kZoneRelayInterval : kMinRelayInterval)) return false;
  relayed_at = now;
  return true;
}

void BeaconSender::take(const wire::Beacon& beacon) {
  const auto now = net::Clock::now();
  const auto sent_at = directory_.on_beacon(beacon, now).value_or(now);
  if (beacon.to_collector) collected_at_ = now;
  if (!beacon.__isset.summary) return;
  const auto* sender = directory_.find(beacon.incarnation);
  if (beacon.summary.zone == directory_.zone()) {
    if (sender == nullptr || sender->zone != directory_.zone()) return;
    directory_.on_digest(beacon.summary, sent_at);
    digest_at_ = now;
    return;
  }
  directory_.on_summary(beacon.summary, sent_at);
  if (sender == nullptr || !relays(beacon.summary, *sender, sent_at, now)) return;
  auto own = compose_();
  own.__set_summary(beacon.summary);
  send_to_all(zone_peers(), encode_beacon(std::move(own)));
}

net::asio::awaitable<void> BeaconSender::receive() {
  while (true) {
    net::asio::ip::udp::endpoint sender;
    net::Error error;
    const auto size = co_await socket_.async_receive_from(net::asio::buffer(datagram_), sender,
                                                          net::awaiting(error));
    if (error) {
      co_await net::sleep_for(context_, kMinRoundTime);
      continue;
    }
    try {
      if (size > 0 && datagram_[0] == kNoticeMark) {
        notice_handler_(std::string(datagram_.data() + 1, size - 1));
      } else {
        take(wire::decode<wire::Beacon>(std::string(datagram_.data(), size)));
      }
    } catch (const std::exception&) {
      // Datagrams that are not beacons are ignored.
    }
  }
}

}  // namespace sailgate::cluster
