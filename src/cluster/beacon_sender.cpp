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
/// A process that sent nothing for this many rounds was stalled.
constexpr int kStallRounds = 3;
/// A summary that was read later than this after it was sent is not relayed, because the receivers
/// would take it for current.
constexpr net::Millis kMaxRelayDelay{150};

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

std::vector<const Peer*> BeaconSender::receivers() const {
  const bool own_zone_only = summarizes();
  std::vector<const Peer*> receivers;
  for (const auto& [node, peer] : directory_.peers()) {
    if (!own_zone_only || peer.zone == directory_.zone()) receivers.push_back(&peer);
  }
  return receivers;
}

void BeaconSender::start() {
  net::asio::co_spawn(context_, send(), net::asio::detached);
  net::asio::co_spawn(context_, send_summaries(), net::asio::detached);
  net::asio::co_spawn(context_, receive(), net::asio::detached);
}

void BeaconSender::send_to(const net::Endpoint& endpoint, const std::string& bytes) {
  const net::asio::ip::udp::endpoint receiver(endpoint.address(), endpoint.port());
  // Send errors are ignored: the next beacon replaces a lost one.
  net::Error ignored;
  socket_.send_to(net::asio::buffer(bytes), receiver, 0, ignored);
}

void BeaconSender::send_to_all(const std::string& bytes) {
  for (const auto* peer : receivers()) send_to(peer->endpoint, bytes);
  // A departed process keeps admitting requests until it ends. Without beacons it would either
  // exceed the limits or refuse requests that they allow.
  for (const auto* peer : directory_.departed().serving(net::Clock::now(), silence_limit())) {
    if (!summarizes() || peer->zone == directory_.zone()) send_to(peer->endpoint, bytes);
  }
}

net::asio::awaitable<void> BeaconSender::send() {
  while (true) {
    stalls_.tick(net::Clock::now(), round_time() * kStallRounds);
    send_to_all(encode_beacon(compose_()));
    co_await wait_for_round();
  }
}

net::Millis BeaconSender::min_send_gap(std::size_t peers) {
  return std::max(kMinSendGap, kTimePerPeer * static_cast<std::int64_t>(peers));
}

net::asio::awaitable<void> BeaconSender::wait_for_round() {
  const auto until = net::Clock::now() + round_time();
  const auto gap = summarizes() ? round_time() : min_send_gap(receivers().size());
  while (net::Clock::now() < until) {
    co_await net::sleep_for(context_, gap);
    if (urgent_()) co_return;
  }
}

net::Millis BeaconSender::draw_summary_delay() {
  const auto members = static_cast<std::int64_t>(receivers().size()) + 1;
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

net::asio::awaitable<void> BeaconSender::send_summaries() {
  while (true) {
    co_await net::sleep_for(context_, summarizes() ? draw_summary_delay() : kMinRoundTime);
    const auto now = net::Clock::now();
    stalls_.tick(now, round_time() * kStallRounds);
    // A node that was stalled or has just started must first receive a round of its zone's beacons:
    // its summary would otherwise be outdated or cover only itself.
    const bool has_zone_view = !stalls_.resumed_within(round_time(), now) &&
                               directory_.heard_half_of_zone(now, silence_limit());
    if (!summarizes() || !has_zone_view) continue;
    auto beacon = compose_();
    beacon.__set_summary(directory_.summarize_zone(beacon, now, silence_limit(), usage_window_));
    const auto bytes = encode_beacon(std::move(beacon));
    for (const auto* peer : summary_receivers()) send_to(peer->endpoint, bytes);
  }
}

void BeaconSender::take(const wire::Beacon& beacon) {
  const auto now = net::Clock::now();
  const auto sent_at = directory_.on_beacon(beacon, now).value_or(now);
  if (!beacon.__isset.summary) return;
  directory_.on_summary(beacon.summary, sent_at);
  if (now > sent_at + kMaxRelayDelay) return;
  const auto* sender = directory_.find(beacon.incarnation);
  const bool first_hand = sender != nullptr && sender->zone == beacon.summary.zone;
  if (!first_hand || sender->zone == directory_.zone()) return;
  auto& relayed_at = relayed_at_[beacon.summary.zone];
  if (now < relayed_at + kMinRelayInterval) return;
  relayed_at = now;
  auto own = compose_();
  own.__set_summary(beacon.summary);
  send_to_all(encode_beacon(std::move(own)));
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
      take(wire::decode<wire::Beacon>(std::string(datagram_.data(), size)));
    } catch (const std::exception&) {
      // Datagrams that are not beacons are ignored.
    }
  }
}

}  // namespace sailgate::cluster
