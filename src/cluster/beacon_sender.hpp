/// @file Exchange of beacons between nodes over UDP.
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

/// In a small fleet every node sends its beacons to every other node. In a larger fleet a node
/// sends them to its own zone only, and at random intervals sends a summary of its zone to one node
/// of each other zone, which relays it within that zone.
///
/// With 295 nodes in 6 zones, beacons from every node to every other took 8 MB/s between zones,
/// with loads up to 0.9 s old and losses detected after 3.5 s. Summaries take 0.2 MB/s (computed
/// from their size and rate), with loads up to 0.4 s old and losses detected after 2 s.
///
/// In a large zone a node sends its beacons to a few nodes only, the collectors, which report to
/// the whole zone in digests and to the other zones in summaries. What a node sends and receives
/// then does not grow with the zone. Collectors are not elected: each node takes the first live
/// ones of a common order, and whoever gets beacons as a collector acts as one. A node that
/// receives no digests sends its beacons to its whole zone until it does, so any number of losses
/// is borne.
class BeaconSender {
 public:
  /// @param compose returns the current beacon of this node.
  /// @throws boost::system::system_error when the address cannot be bound.
  BeaconSender(net::asio::io_context& context, const net::Endpoint& endpoint,
               PeerDirectory& directory, std::function<wire::Beacon()> compose, std::uint64_t seed);

  /// Sets the sliding window of the tenants' limits.
  void set_usage_window(net::Millis window) { usage_window_ = window; }

  /// Sets a callback that tells whether every node needs the beacons of all nodes of its zone, as
  /// the tenants' limits do. Then there are no collectors.
  void set_needs_all_beacons(std::function<bool()> needs_all) { needs_all_ = std::move(needs_all); }

  /// Sets a callback that is polled between rounds and starts the next round early if it returns
  /// true. In fleets that use summaries it is polled only at the end of a round.
  void set_urgent_check(std::function<bool()> urgent) { urgent_ = std::move(urgent); }

  /// Duration of a round, in which each of `peers` peers is sent one beacon.
  static net::Millis round_time(std::size_t peers);
  /// Minimum time between two beacons when there are `peers` peers.
  static net::Millis min_send_gap(std::size_t peers);

  void start();
  /// Sets the handler of notices from peers.
  void on_notice(std::function<void(const std::string&)> handler) {
    notice_handler_ = std::move(handler);
  }
  /// Sends a peer a datagram that is not a beacon. It may be lost; processes of earlier versions
  /// ignore it.
  void send_notice(const Peer& peer, const std::string& text);
  /// Time without a beacon after which a peer counts as lost.
  net::Millis silence_limit() const;

 private:
  net::asio::awaitable<void> send();
  /// Waits until the next round is due or the urgent check returns true.
  net::asio::awaitable<void> wait_for_round();
  net::asio::awaitable<void> send_summaries();
  net::asio::awaitable<void> receive();
  void take(const wire::Beacon& beacon);
  /// Whether there are too many peers to send beacons to all of them directly.
  bool summarizes() const;
  /// Whether this node's zone is so large that beacons go to collectors.
  bool uses_collectors() const;
  /// Whether nodes of the zone send their beacons to this one as a collector.
  bool collects(net::TimePoint now) const;
  /// Whether this node has heard enough of its zone, and recently enough, to give its totals.
  bool has_zone_view(net::TimePoint now) const;
  std::vector<const Peer*> zone_peers() const;
  /// Peers that are sent this node's beacons directly.
  std::vector<const Peer*> receivers() const;
  std::size_t receiver_count() const;
  /// Sends to the peers, and to departed processes that are still serving.
  void send_to_all(const std::vector<const Peer*>& peers, const std::string& bytes);
  /// Sends a beacon to the collectors, and to all peers of the zone that need it directly.
  void send_to_collectors(wire::Beacon beacon);
  /// Reports about the zone to its nodes while this one collects their beacons.
  net::asio::awaitable<void> send_digests();
  void send_digest_to(const std::vector<const Peer*>& peers);
  /// This node's beacon with the summary of its zone.
  wire::Beacon compose_summary(net::TimePoint now);
  /// Whether a summary of another zone is passed on to this one.
  bool relays(const wire::ZoneSummary& summary, const Peer& sender, net::TimePoint sent_at,
              net::TimePoint now);
  void send_to(const net::Endpoint& endpoint, const std::string& bytes);
  net::Millis round_time() const { return round_time(receiver_count()); }
  /// Random time until this node sends its next summary.
  net::Millis draw_summary_delay();
  /// Picks one node of each other zone at random.
  std::vector<const Peer*> summary_receivers();

  net::asio::io_context& context_;
  net::asio::ip::udp::socket socket_;
  PeerDirectory& directory_;
  std::function<wire::Beacon()> compose_;
  std::function<bool()> urgent_ = [] { return false; };
  std::function<bool()> needs_all_ = [] { return false; };
  std::function<void(const std::string&)> notice_handler_ = [](const std::string&) {};
  base::Random random_;
  StallDetector stalls_;
  net::Millis usage_window_{5000};
  std::map<std::string, net::TimePoint> relayed_at_;  ///< last relay of each zone's summary
  net::TimePoint collected_at_{};  ///< last beacon that this node was sent as a collector
  net::TimePoint digest_at_ = net::Clock::now();  ///< last digest from a peer; first the start
  std::array<char, kMaxBeaconBytes> datagram_{};
};

}  // namespace sailgate::cluster
