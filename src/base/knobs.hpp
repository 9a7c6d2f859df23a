/// @file Every tunable of the cores in one place. Durations are in milliseconds.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.hpp"

namespace sailgate::base {

/// Tunables of one node. All nodes of a cluster must use the same replication values.
struct Knobs {
  /// Interval of NodeCore ticks; heartbeats of all led slots leave together at this rate.
  Millis heartbeat_interval = 200;
  /// A follower that heard nothing for this long (plus up to as much again at random) campaigns.
  Millis election_timeout = 1200;
  /// A leader may act on its own state this long after the send time of acknowledged heartbeats.
  /// Must stay below election_timeout * (1 - max_clock_drift).
  Millis lease_duration = 900;
  /// A member without acknowledgement for this long no longer holds up commits.
  Millis suspicion_timeout = 1000;
  /// Records kept in a replica's log behind the applied index for followers that lag a little.
  std::size_t log_tail = 256;
  /// Most records in one AppendRequest.
  std::size_t append_batch = 128;

  /// Interval between gossip probes of one random member.
  Millis probe_interval = 500;
  /// Time for a direct probe's answer before other members are asked to probe.
  Millis probe_timeout = 200;
  /// A suspect that does not refute within this time is declared dead.
  Millis suspect_timeout = 2000;
  /// Members asked to probe indirectly.
  std::size_t indirect_probes = 2;
  /// Rumors added to one envelope.
  std::size_t rumors_per_envelope = 12;
  /// Interval between full-table exchanges with one random member.
  Millis full_sync_interval = 60'000;

  /// Number of slots programs are hashed to.
  std::int32_t slot_count = 16;
  /// Replicas per slot.
  std::size_t replica_count = 3;
  /// Programs are opened only while the slot's group has at least this many members.
  std::size_t minimum_members = 2;
  /// Bytes of program state one slot may hold before new programs are refused.
  std::size_t slot_state_limit = std::size_t{64} << 20U;
  /// Time a new process collects membership before it may create or recover slots.
  Millis join_delay = 1500;
  /// Interval between attempts to write a slot's row to the table service.
  Millis row_write_interval = 1000;
  /// A table-service request without answer for this long counts as unanswered.
  Millis table_timeout = 2000;

  /// Interval at which an owed eviction is sent again.
  Millis eviction_interval = 1000;
  /// Interval at which an unknown outcome is asked for again.
  Millis inquiry_interval = 1000;
  /// Time past an attempt's deadline after which the leader gives up on its gateway.
  Millis attempt_grace = 1000;
  /// A call admitted without an attempt for this long is withdrawn.
  Millis admitted_timeout = 5000;
  /// A program without any activity for this long is ended.
  Millis idle_limit = 1'800'000;
  /// Interval of the leader's scan for owed evictions, overdue attempts and idle programs.
  Millis obligation_interval = 500;
  /// Time a node may serve under its configuration after it asked for a lease.
  Millis configuration_lease = 5000;
  /// Interval at which a node renews its configuration lease.
  Millis configuration_poll = 1000;
  /// Interval at which replicas per member are counted for placement.
  Millis replica_count_interval = 1000;
};

}  // namespace sailgate::base
