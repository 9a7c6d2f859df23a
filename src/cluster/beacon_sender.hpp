/// @file Beacons between nodes, by UDP.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "cluster/beacon_codec.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/stall_detector.hpp"
#include "net/asio.hpp"

namespace sailgate::cluster {

/// Few nodes tell each other everything directly: a beacon from each to each. In larger fleets a
/// node sends its beacons to its own zone, and now and then a summary of its zone to one node of
/// each other zone, which passes it on to its own zone.
///
/// With 295 nodes in 6 zones a beacon from each to each took 8 MB a second between zones, for loads
/// that were up to 0.9 s old and losses noticed after 3.5 s. Summaries take 0.2 MB a second (worked
/// out from their size and number) for loads up to 0.4 s old and losses noticed after 2 s.
class BeaconSender {
 public:
  /// @param compose gives the beacon as of now.
  /// @throws boost::system::system_error when the address cannot be bound.
  BeaconSender(net::asio::io_context& context, const net::Endpoint& endpoint,
               PeerDirectory& directory, std::function<wire::Beacon()> compose, std::uint64_t seed);

  /// Window over which tenants' limits count.
  void set_usage_window(net::Millis window) { usage_window_ = window; }

  /// Asked between rounds, in fleets where nodes tell each other everything directly: whether
  /// there is something to tell that should not wait for the next one.
  void set_urgent_check(std::function<bool()> urgent) { urgent_ = std::move(urgent); }

  /// Time in which each of so many peers gets one beacon.
  static net::Millis round_time(std::size_t peers);
  /// Least time between two beacons to so many peers.
  static net::Millis min_send_gap(std::size_t peers);

  void start();
  /// A peer that was silent for this long is taken for lost.
  net::Millis silence_limit() const;

 private:
  net::asio::awaitable<void> send();
  /// Until the next round, or something urgent.
  net::asio::awaitable<void> wait_for_round();
  net::asio::awaitable<void> send_summaries();
  net::asio::awaitable<void> receive();
  void take(const wire::Beacon& beacon);
  /// Whether all peers are too many to be told directly.
  bool summarizes() const;
  /// Peers that get this node's beacons directly.
  std::vector<const Peer*> receivers() const;
  /// Sends to all receivers, and to processes that have left and serve on.
  void send_to_all(const std::string& bytes);
  void send_to(const net::Endpoint& endpoint, const std::string& bytes);
  net::Millis round_time() const { return round_time(receivers().size()); }
  net::Millis draw_summary_delay();
  /// One node of each other zone.
  std::vector<const Peer*> summary_receivers();

  net::asio::io_context& context_;
  net::asio::ip::udp::socket socket_;
  PeerDirectory& directory_;
  std::function<wire::Beacon()> compose_;
  std::function<bool()> urgent_ = [] { return false; };
  base::Random random_;
  StallDetector stalls_;
  net::Millis usage_window_{5000};
  std::map<std::string, net::TimePoint> relayed_at_;  ///< by zone: its summary, by this node
  std::array<char, kMaxBeaconBytes> datagram_{};
};

}  // namespace sailgate::cluster
