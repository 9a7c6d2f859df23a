#include "cluster/beacon_sender.hpp"

#include <algorithm>

#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

/// Time between two beacons to the same peer while there are few peers.
constexpr net::Millis kShortestRound{200};
/// With many peers a round takes this long for each of them.
constexpr net::Millis kTimePerPeer{3};
/// Lost datagrams that do not yet mean a lost peer.
constexpr int kMissedBeacons = 4;

}  // namespace

BeaconSender::BeaconSender(net::asio::io_context& context, const net::Endpoint& endpoint,
                           PeerDirectory& directory, std::function<wire::Beacon()> compose)
    : context_(context),
      socket_(context, net::asio::ip::udp::endpoint(endpoint.address(), endpoint.port())),
      directory_(directory),
      compose_(std::move(compose)) {}

net::Millis BeaconSender::round_time(std::size_t peers) {
  return std::max(kShortestRound, kTimePerPeer * static_cast<std::int64_t>(peers));
}

net::Millis BeaconSender::silence_limit() const { return round_time() * kMissedBeacons; }

void BeaconSender::start() {
  net::asio::co_spawn(context_, send(), net::asio::detached);
  net::asio::co_spawn(context_, receive(), net::asio::detached);
}

net::asio::awaitable<void> BeaconSender::send() {
  while (true) {
    const auto bytes = wire::encode(compose_());
    for (const auto& [node, peer] : directory_.peers()) {
      const net::asio::ip::udp::endpoint receiver(peer.endpoint.address(), peer.endpoint.port());
      net::Error ignored;
      socket_.send_to(net::asio::buffer(bytes), receiver, 0, ignored);
    }
    co_await net::sleep_for(context_, round_time());
  }
}

net::asio::awaitable<void> BeaconSender::receive() {
  while (true) {
    net::asio::ip::udp::endpoint sender;
    net::Error error;
    const auto size = co_await socket_.async_receive_from(net::asio::buffer(datagram_), sender,
                                                          net::awaiting(error));
    if (error) {
      co_await net::sleep_for(context_, kShortestRound);
      continue;
    }
    try {
      directory_.on_beacon(wire::decode<wire::Beacon>(std::string(datagram_.data(), size)),
                           net::Clock::now());
    } catch (const std::exception&) {
      // Not a beacon: ignored.
    }
  }
}

}  // namespace sailgate::cluster
