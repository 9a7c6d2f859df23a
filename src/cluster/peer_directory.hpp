/// @file Directory of the other nodes of the fleet and their liveness.
///
/// Every node publishes a row about itself in the table store, and all nodes follow that table.
/// Liveness is derived from beacons only: the row of a failed machine stays until it comes back.
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
  net::Endpoint endpoint;             ///< for calls (TCP) and beacons (UDP)
  net::TimePoint last_heard{};        ///< by this node, or by a node of the peer's zone
  net::TimePoint reported_at{};       ///< time of its last own beacon; before that, of its row
  net::TimePoint presumed_live_at{};  ///< end of a stall of this node that it was live before
  bool has_reported = false;         ///< if false, last_heard is the time at which its row was read
  net::TimePoint suspected_at{};     ///< time of the last failed call
  net::TimePoint suspected_until{};  ///< not used before this time
  NodeStats stats;                   ///< from its last beacon
  bool reads_digests = false;        ///< it needs no beacons of its zone; see BeaconSender
  bool reaches_store = false;        ///< its own calls to the store succeed
  bool steps_aside = false;          ///< it redirects callers to other nodes
  std::set<int> escrow_shards;       ///< shards it owns with an escrow to spend
  std::set<int> bare_shards;         ///< shards it owns without an escrow
  net::TimePoint started_at{};       ///< start of its process; a start long ago is not reported
  BeaconLateness lateness;

  /// The silence after which the peer counts as lost is measured from this time.
  net::TimePoint last_sign_of_life() const { return std::max(last_heard, presumed_live_at); }
};

/// Last reported usage of a zone whose processes all ended together, so that no later summary of
/// the zone includes it.
struct LostZoneUsage {
  TenantUsages tenants;
  net::TimePoint reported_at{};
};

/// Totals over the nodes of a zone, from its last summary.
struct ZoneSums {
  NodeStats stats;
  net::TimePoint summarized_at{};
  std::vector<net::Millis> member_silence;  ///< time since each member was heard, at summarized_at
  std::vector<LostZoneUsage> lost;          ///< earlier losses of the whole zone, oldest first
};

/// How a summary lists the members of its zone.
enum class MemberDetail {
  kFull,
  kCompact,  ///< see PlainMember; without the starts of most processes, which tenants' limits need
};

/// Deterministic, not thread-safe.
///
/// In all methods, `silence` is the time without a beacon after which a peer counts as lost; see
/// BeaconSender::silence_limit().
class PeerDirectory {
 public:
  /// @param self name of this node; its own row is ignored.
  PeerDirectory(std::string self, std::string zone)
      : self_(std::move(self)), zone_(std::move(zone)) {}

  /// Name of this node.
  const std::string& self() const { return self_; }
  /// Sets the incarnation of this process.
  void set_incarnation(std::int64_t incarnation) { incarnation_ = incarnation; }

  /// Records that all node rows have been read once: from then on, a peer that is not in the
  /// directory does not exist.
  void mark_complete() { complete_ = true; }
  /// Applies a node's row. @param seen_at time at which a new incarnation counts as heard.
  void put(const std::string& node, const wire::PeerRow& row, net::TimePoint seen_at);
  /// Handles the deletion of a node's row: the node has left or is about to leave.
  void remove(const std::string& node);
  /// Applies a beacon except for its summary. @return the time at which it was sent, estimated from
  /// the sender's clock; nullopt if the sender is unknown.
  std::optional<net::TimePoint> on_beacon(const wire::Beacon& beacon, net::TimePoint now);
  /// Applies a digest: the summary of this zone by a node of it. @param now time at which it was
  /// sent.
  void on_digest(const wire::ZoneSummary& digest, net::TimePoint now);
  /// Applies the summary of another zone. @param now time at which it was sent.
  void on_summary(const wire::ZoneSummary& summary, net::TimePoint now);
  /// Summarizes this node and the peers of its zone whose own beacons arrived within `silence`.
  /// @param own this node's beacon. @param window sliding window of the tenants' limits.
  /// @param detail kCompact takes effect once all nodes can read it.
  wire::ZoneSummary summarize_zone(const wire::Beacon& own, net::TimePoint now, net::Millis silence,
                                   net::Millis window,
                                   MemberDetail detail = MemberDetail::kFull) const;
  /// The first `count` nodes of a zone in the rendezvous order for collecting beacons, among its
  /// live nodes, without this one. This node may be among the first ones; then there are fewer.
  std::vector<const Peer*> collectors(const std::string& zone, std::size_t count,
                                      net::TimePoint now, net::Millis silence) const;
  /// The first `count` live peers, of all zones, in the rendezvous order of `key`.
  std::vector<const Peer*> rendezvous_peers(const std::string& key, std::size_t count,
                                            net::TimePoint now, net::Millis silence) const;
  /// Number of peers in this node's zone.
  std::size_t zone_peers() const { return zone_peers_; }
  /// Whether every peer, of all zones, understands digests and compact summaries.
  bool all_read_digests() const { return peers_reading_digests_ == peers_.size(); }
  /// Whether a digest with the totals of this zone, including this node, was sent within `silence`.
  bool has_digest(net::TimePoint now, net::Millis silence) const {
    return now < own_digest_.summarized_at + silence;
  }
  /// Selects processes that fell silent, whose requests may still count against limits, to be
  /// included in a beacon. Only those are selected whose last beacon some recently started peer may
  /// have missed, up to a size limit.
  /// @param turn offset of the first candidate; the caller increments it so that all are sent.
  std::vector<wire::SilentProcess> silent_processes_to_relay(net::TimePoint now,
                                                             net::Millis silence,
                                                             net::Millis window,
                                                             std::size_t turn) const;
  /// Whether at least half of this zone's possibly live peers have sent a beacon lately. Peers are
  /// known from their rows before they are heard, and a total over the zone would be far too low
  /// then.
  bool heard_half_of_zone(net::TimePoint now, net::Millis silence) const;
  /// Records that this process was stalled from `from` until `now`. Peers that were live before
  /// must not count as lost, nor their programs be claimed, because their beacons were not read
  /// during the stall.
  void note_stall(net::TimePoint from, net::TimePoint now, net::Millis silence);
  /// Records a failed call to the peer.
  void suspect(const std::string& node, net::TimePoint now);
  /// Suspects all nodes of a zone from which nothing is heard: a call to any of them would only
  /// fail after a time-out.
  void suspect_zone(const std::string& zone, net::TimePoint now);

  /// Whether the peer was heard recently and is not suspected. After a failed call, a later sign of
  /// life is required: otherwise calls to a dead peer would keep failing until its silence is
  /// noticed.
  static bool is_live(const Peer& peer, net::TimePoint now, net::Millis silence);

  /// Home of `key` in this zone: the first node of the key's rendezvous order among this node and
  /// its live peers. nullopt means this node.
  std::optional<Peer> home(const std::string& key, net::TimePoint now, net::Millis silence) const;

  /// Live peer that owns a program shard; an owner with an escrow to spend is preferred.
  std::optional<Peer> shard_owner(int shard, net::TimePoint now, net::Millis silence) const;
  /// Shards that this node should claim. A shard that is neither in `own` nor owned by a peer goes
  /// to the first node of its rendezvous order among this node and the peers that are not lost.
  std::vector<int> shards_to_claim(const std::set<int>& own, int shards, net::TimePoint now,
                                   net::Millis silence) const;
  /// Whether the process with this incarnation is a peer that is not lost.
  bool heard(std::int64_t incarnation, net::TimePoint now, net::Millis silence) const;

  /// @return the peer with this incarnation, live or not; nullptr if it is unknown.
  const Peer* find(std::int64_t incarnation) const;

  /// Live peers that reach the store; only those of this zone if there are any.
  std::vector<Peer> reaching_store(net::TimePoint now, net::Millis silence) const;

  /// Highest store version named by any beacon; 0 before the first one.
  std::int64_t newest_store_version() const { return newest_store_version_; }
  /// Highest configuration version named by any beacon; 0 before the first one.
  std::int64_t newest_configuration_version() const { return newest_configuration_version_; }

  /// In-flight requests of live peers by engine. A zone with a summary younger than `silence`
  /// contributes its total, all other peers contribute individually.
  EngineLoads loads(net::TimePoint now, net::Millis silence) const;
  /// Consecutive failures that live peers saw by engine, aggregated like loads().
  EngineLoads failures(net::TimePoint now, net::Millis silence) const;
  /// Programs that live peers recently admitted by tenant, aggregated like loads(). Separate from
  /// live_stats() because it runs ten times a second, also on small machines.
  CountByKey begun(net::TimePoint now, net::Millis silence) const;
  /// All statistics of live peers except tenants' usage, aggregated like loads().
  NodeStats live_stats(net::TimePoint now, net::Millis silence) const;

  bool complete() const { return complete_; }
  const DepartedPeers& departed() const { return departed_; }
  /// Totals of the other zones, by zone.
  const std::map<std::string, ZoneSums>& zone_sums() const { return zone_sums_; }
  const std::map<std::string, Peer>& peers() const { return peers_; }
  const std::string& zone() const { return zone_; }

 private:
  /// Calls `visit` with the statistics of each zone and each peer that loads() includes.
  template <typename Visit>
  void for_each_live(net::TimePoint now, net::Millis silence, const Visit& visit) const;
  Peer* find_by(std::int64_t incarnation);
  /// Applies a peer's record of a silent process that this node never heard or heard less recently.
  void merge_silent_process(const wire::SilentProcess& process, net::TimePoint sent_at);
  /// Applies what a summary says about single members.
  void apply_members(const wire::ZoneSummary& summary, net::TimePoint now);
  /// Applies what a zone reports about one of its nodes. @return whether it is newer than known.
  static bool hear_of(Peer* peer, const std::string& zone, net::TimePoint heard_at);
  /// Moves a peer to the departed ones. @param replaced a new process of the node has started.
  void retire(const std::string& node, bool replaced);

  /// Whether some peer started so recently that it may have missed a beacon sent at `heard_at`.
  bool has_newcomers(net::TimePoint heard_at, net::TimePoint now) const;

  std::string self_;
  std::int64_t incarnation_ = 0;
  std::string zone_;
  std::map<std::string, Peer> peers_;
  std::unordered_map<std::int64_t, std::string> nodes_by_incarnation_;
  DepartedPeers departed_;
  bool complete_ = false;
  std::map<std::string, ZoneSums> zone_sums_;
  ZoneSums own_digest_;  ///< totals of this zone, including this node
  std::size_t zone_peers_ = 0;
  std::size_t peers_reading_digests_ = 0;
  std::unordered_map<std::uint32_t, std::string> nodes_by_short_id_;
  std::int64_t newest_store_version_ = 0;
  std::int64_t newest_configuration_version_ = 0;
};

}  // namespace sailgate::cluster
