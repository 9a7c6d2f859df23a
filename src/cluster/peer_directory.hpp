/// @file The serving nodes this node knows, and which of them live.
///
/// Every node keeps a row of itself in the table store; all follow that table. Whether a node lives
/// is told by its beacons alone: rows of lost machines stay until the machine comes back.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/beacon_lateness.hpp"
#include "cluster/departed_peers.hpp"
#include "cluster/engine_loads.hpp"
#include "cluster/told_figures.hpp"
#include "cluster_types.h"
#include "net/asio.hpp"

namespace sailgate::cluster {

struct Peer {
  std::string node;
  std::int64_t incarnation = 0;
  std::string zone;
  net::Endpoint endpoint;             ///< calls (TCP) and beacons (UDP)
  net::TimePoint last_heard{};        ///< by this node, or by one of the peer's zone
  net::TimePoint presumed_live_at{};  ///< lived when this node stood still, which ended then
  bool has_reported = false;          ///< else last_heard is when its row came
  net::TimePoint suspected_at{};      ///< a call failed
  net::TimePoint suspected_until{};   ///< not used until then
  NodeStats stats;                    ///< as its last beacon said
  bool reaches_store = false;         ///< the store answers its own calls
  bool steps_aside = false;           ///< sends callers elsewhere
  std::set<int> escrow_shards;        ///< owned, with an escrow to spend
  std::set<int> bare_shards;          ///< owned, without
  net::TimePoint started_at{};        ///< of its process; a time long ago is not told
  BeaconLateness lateness;

  /// From when on its silence says that it is lost.
  net::TimePoint last_sign_of_life() const { return std::max(last_heard, presumed_live_at); }
};

/// What processes that all ended at once had told: nobody of their zone sums it up any more.
struct LostZoneUsage {
  TenantUsages tenants;
  net::TimePoint reported_at{};
};

/// Sums over a zone's nodes, as its last summary said.
struct ZoneSums {
  NodeStats stats;
  net::TimePoint summarized_at{};
  std::vector<net::Millis> member_silence;  ///< for how long, of each node that is summed up
  std::vector<LostZoneUsage> lost;          ///< before losses of the whole zone, the latest last
};

/// Deterministic, not thread-safe.
class PeerDirectory {
 public:
  /// @param self name of this node; its own row is ignored.
  PeerDirectory(std::string self, std::string zone)
      : self_(std::move(self)), zone_(std::move(zone)) {}

  /// This node.
  const std::string& self() const { return self_; }
  /// Of this process.
  void set_incarnation(std::int64_t incarnation) { incarnation_ = incarnation; }

  /// All rows of nodes have been taken over once: peers that are not known do not exist.
  void mark_complete() { complete_ = true; }
  /// Takes a node's row over. @param seen_at when a new incarnation counts as heard of.
  void put(const std::string& node, const wire::PeerRow& row, net::TimePoint seen_at);
  /// The node's row is gone: it has left, or is about to.
  void remove(const std::string& node);
  /// Takes a beacon over, but for its summary. @return when it was sent, as far as the sender's
  /// clock tells; nullopt: the sender is not known.
  std::optional<net::TimePoint> on_beacon(const wire::Beacon& beacon, net::TimePoint now);
  /// Takes over what another zone's nodes know of each other. @param now when that was sent.
  void on_summary(const wire::ZoneSummary& summary, net::TimePoint now);
  /// This node and the peers of its zone that were heard of within `silence`, with sums over them.
  /// @param own this node's beacon. @param window over which limits count.
  wire::ZoneSummary summarize_zone(const wire::Beacon& own, net::TimePoint now, net::Millis silence,
                                   net::Millis window) const;
  /// Processes that are not heard any more and whose requests may still count, for beacons: those
  /// whose last word some peer is too young to have heard, as many as are small enough together.
  /// @param turn counted up by the caller, so that all have their turn.
  std::vector<wire::SilentProcess> silent_processes_to_relay(net::TimePoint now,
                                                             net::Millis silence,
                                                             net::Millis window,
                                                             std::size_t turn) const;
  /// Whether half or more of the zone's peers that may live have told of themselves. Rows name
  /// peers before they are heard: a sum over the zone would be far too low then.
  bool heard_half_of_zone(net::TimePoint now, net::Millis silence) const;
  /// This node stood still: who lived before is not lost for that it was not heard meanwhile, and
  /// its programs are not to be claimed.
  void note_stall(net::TimePoint from, net::TimePoint now, net::Millis silence);
  /// A call to the peer failed.
  void suspect(const std::string& node, net::TimePoint now);
  /// Nothing of a zone is heard: calls to any of its nodes would fail, each after a time-out.
  void suspect_zone(const std::string& zone, net::TimePoint now);

  /// Heard of lately and not suspected. After a failed call a sign of life must have come since:
  /// without that, calls to a dead peer would fail again and again until its silence is noticed.
  /// @param silence longest time between its beacons.
  static bool is_live(const Peer& peer, net::TimePoint now, net::Millis silence);

  /// Node that keeps `key` for the nodes of this zone: the first of the key's rendezvous order
  /// among this node and its live peers. nullopt: this node itself.
  std::optional<Peer> home(const std::string& key, net::TimePoint now, net::Millis silence) const;

  /// Live peer that owns a shard of programs; one with an escrow to spend comes first.
  std::optional<Peer> shard_owner(int shard, net::TimePoint now, net::Millis silence) const;
  /// Of the shards that are neither in `own` nor any peer's, those that this node is to claim: the
  /// first of a shard's rendezvous order among this node and the peers heard of within `silence`.
  std::vector<int> shards_to_claim(const std::set<int>& own, int shards, net::TimePoint now,
                                   net::Millis silence) const;
  /// Whether a process was heard of within `silence`.
  bool heard(std::int64_t incarnation, net::TimePoint now, net::Millis silence) const;

  /// @return the peer with this incarnation, live or not; nullptr when it is unknown.
  const Peer* find(std::int64_t incarnation) const;

  /// Live peers that the store answers; those of this zone if there are any.
  std::vector<Peer> reaching_store(net::TimePoint now, net::Millis silence) const;

  /// Newest version of the store that a beacon named; 0 before any.
  std::int64_t newest_store_version() const { return newest_store_version_; }

  /// Requests of live peers in flight at engines. Zones whose summary is not older than `silence`
  /// count by their sum, other peers one by one.
  EngineLoads loads(net::TimePoint now, net::Millis silence) const;
  /// Failures in a row that live peers saw at engines, summed in the same way.
  EngineLoads failures(net::TimePoint now, net::Millis silence) const;
  /// Programs of late that live peers let begin, by tenant, summed in the same way. Small machines
  /// sum this ten times a second, so without the other figures.
  CountByKey begun(net::TimePoint now, net::Millis silence) const;
  /// All figures of live peers but those of tenants, summed in the same way.
  NodeStats live_stats(net::TimePoint now, net::Millis silence) const;

  bool complete() const { return complete_; }
  const DepartedPeers& departed() const { return departed_; }
  /// Of the other zones, by zone.
  const std::map<std::string, ZoneSums>& zone_sums() const { return zone_sums_; }
  const std::map<std::string, Peer>& peers() const { return peers_; }
  const std::string& zone() const { return zone_; }

 private:
  /// Calls `visit` with the figures of each zone and each peer that loads() counts.
  template <typename Visit>
  void for_each_live(net::TimePoint now, net::Millis silence, const Visit& visit) const;
  Peer* find_by(std::int64_t incarnation);
  /// Takes over what a peer heard from a process that this node never heard, or not as late.
  void merge_silent_process(const wire::SilentProcess& process, net::TimePoint sent_at);
  /// @param replaced another process of the node has begun.
  void retire(const std::string& node, bool replaced);

  /// Whether some peer began lately and may not have heard what came at `heard_at`.
  bool has_newcomers(net::TimePoint heard_at, net::TimePoint now) const;

  std::string self_;
  std::int64_t incarnation_ = 0;
  std::string zone_;
  std::map<std::string, Peer> peers_;
  std::unordered_map<std::int64_t, std::string> nodes_by_incarnation_;
  DepartedPeers departed_;
  bool complete_ = false;
  std::map<std::string, ZoneSums> zone_sums_;
  std::int64_t newest_store_version_ = 0;
};

}  // namespace sailgate::cluster
