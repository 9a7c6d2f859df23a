/// @file Beacons between nodes, by UDP.
#pragma once

#include <array>
#include <functional>

#include "cluster/peer_directory.hpp"
#include "net/asio.hpp"

namespace sailgate::cluster {

/// Sends this node's beacon to every peer in turn and takes theirs. The number of datagrams a
/// second is bounded whatever the number of nodes: with many, each peer hears less often.
class BeaconSender {
 public:
  /// @param compose gives the beacon as of now.
  /// @throws boost::system::system_error when the address cannot be bound.
  BeaconSender(net::asio::io_context& context, const net::Endpoint& endpoint,
               PeerDirectory& directory, std::function<wire::Beacon()> compose);

  /// Time in which each of so many peers gets one beacon.
  static net::Millis round_time(std::size_t peers);

  void start();
  /// A peer that was silent for this long is taken for lost.
  net::Millis silence_limit() const;

 private:
  static constexpr std::size_t kDatagramLimit = 8192;

  net::asio::awaitable<void> send();
  net::asio::awaitable<void> receive();
  net::Millis round_time() const { return round_time(directory_.peers().size()); }

  net::asio::io_context& context_;
  net::asio::ip::udp::socket socket_;
  PeerDirectory& directory_;
  std::function<wire::Beacon()> compose_;
  std::array<char, kDatagramLimit> datagram_{};
};

}  // namespace sailgate::cluster
