/// @file Core of one node: membership, its replicas, and the slots it leads.
///
/// Deterministic: every input carries the time, every effect is an action for the shell. The same
/// code runs in sailgated and, many to a process, in simulation.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/knobs.hpp"
#include "base/random.hpp"
#include "configuration/configuration_holder.hpp"
#include "membership/membership.hpp"
#include "node/core/group_repair.hpp"
#include "node/core/node_actions.hpp"
#include "node/core/obligations.hpp"
#include "node/core/row_keeper.hpp"
#include "node/core/slot_replica.hpp"
#include "scheduling/backend_directory.hpp"

namespace sailgate::node {

/// Slot whose journal also holds the configuration.
constexpr std::int32_t kConfigurationSlot = 0;

/// Slot of a program: its root's id hashed, so that a program and its sub-programs share a slot.
std::int32_t slot_of(const std::string& program, std::int32_t slot_count);

/// Not thread-safe; the shell serialises access.
class NodeCore {
 public:
  struct Options {
    wire::Member self;
    base::Knobs knobs;
    NodePolicies policies;
    std::vector<membership::Address> seeds;
    std::vector<scheduling::Backend> backends;
    std::uint64_t seed = 0;
  };

  NodeCore(Options options, base::Millis now);
  NodeCore(const NodeCore&) = delete;
  NodeCore& operator=(const NodeCore&) = delete;
  ~NodeCore() = default;

  /// Envelopes for an older incarnation of this address are dropped.
  void on_envelope(const wire::Envelope& envelope, base::Millis now);
  /// Call every Knobs::heartbeat_interval.
  void on_tick(base::Millis now);
  /// Hands a program request to the slot's replica; the reply comes out of take_actions().
  void submit(Ticket ticket, std::int32_t slot, const wire::ProgramRequest& request,
              base::Millis now);
  void on_table_answer(const TableAnswer& answer, base::Millis now);
  /// The authority answered a lease request made at `asked_at`.
  void on_configuration_lease(const wire::ConfigurationLease& lease, base::Millis asked_at);
  void on_evicted(const EvictionOrder& order, base::Millis now);
  void on_inquiry_answer(const InquiryAnswer& answer, base::Millis now);
  /// The machine list, a back end's own report or a refusal says that it is leaving.
  void on_backend_leaving(const std::string& backend);
  void on_backend_load(const std::string& backend, std::int32_t load, base::Millis now);

  /// Planned stop: leave the membership, hand over leaderships, then replicas.
  void begin_stop(base::Millis now);
  bool stopping() const { return stopping_; }
  /// No group lists this node any more or feeds it as a learner, so that it may exit without loss.
  bool released(base::Millis now) const;
  /// A led group has as many usable members as it should.
  bool group_is_full(const SlotReplica& replica, base::Millis now) const;
  /// Some other node is there to take replicas over.
  bool successor_known() const;

  /// Member that most likely leads the slot; 0 when none is known.
  std::int64_t leader_hint(std::int32_t slot) const;
  NodeActions take_actions();

  const membership::Membership& membership() const { return membership_; }
  const configuration::ConfigurationHolder& configuration() const { return configuration_; }
  const scheduling::BackendDirectory& backends() const { return backends_; }
  const std::map<std::int32_t, std::unique_ptr<SlotReplica>>& replicas() const { return replicas_; }
  const base::Knobs& knobs() const { return options_.knobs; }
  std::size_t led_slots() const;

 private:
  SlotReplica& replica(std::int32_t slot, base::Millis now);
  SlotReplica* find_replica(std::int32_t slot);
  void finish_slot_step(SlotReplica& replica, base::Millis now);
  void finish_step();
  void tick_slots(base::Millis now);
  void seek_slots(base::Millis now);
  void scan_obligations(base::Millis now);
  void publish_location(SlotReplica& replica, base::Millis now);
  void apply_rumors(const std::vector<wire::Rumor>& rumors, base::Millis now);
  void send_group_messages();

  Options options_;
  base::Random random_;
  membership::Membership membership_;
  scheduling::BackendDirectory backends_;
  RowKeeper rows_;
  GroupRepair repair_;
  Obligations obligations_;
  configuration::ConfigurationHolder configuration_;
  std::map<std::int32_t, std::unique_ptr<SlotReplica>> replicas_;
  replication::Outbox outbox_;
  NodeActions actions_;
  base::Millis started_at_;
  base::Millis next_seek_at_ = 0;
  base::Millis next_scan_at_ = 0;
  base::Millis next_count_at_ = 0;
  membership::ReplicaCounts replica_counts_;
  bool stopping_ = false;
  base::Millis stopping_since_ = 0;
};

}  // namespace sailgate::node
