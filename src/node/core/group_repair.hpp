/// @file Keeps a led group at its size, across zones, without leaving or dead members.
///
/// Steps:
///  1. A group that is too small, has a dead or leaving member, or two members in one zone while
///     another zone has room, gets learners.
///  2. Once a learner has caught up it takes the place of one member. Only one place changes at a
///     time, so that the loss of a newcomer never costs a group its majority; a group that is being
///     founded grows in one change.
///
/// A lost member stays listed until its replacement has caught up: a cut-off member that comes back
/// is worth more than a shorter list. A change never leaves the members and a row that the table
/// service may hold without anybody in common: a recovery trusts the row and must not overlook a
/// living group (docs/decisions/0004-slot-rows.md).
#pragma once

#include <optional>
#include <vector>

#include "base/knobs.hpp"
#include "membership/membership.hpp"
#include "membership/placement.hpp"
#include "node/core/slot_replica.hpp"

namespace sailgate::node {

/// Repair policy of the slots one node leads. Not thread-safe.
class GroupRepair {
 public:
  GroupRepair(const base::Knobs& knobs, const membership::Membership& membership)
      : knobs_(knobs), membership_(membership) {}

  /// Takes the next step for one led slot, if one is due.
  /// @param counts replicas per member as known from slot rumors.
  void step(SlotReplica& replica, const membership::ReplicaCounts& counts, base::Millis now) const;

 private:
  using Members = std::vector<wire::Member>;

  static bool majority_there(const replication::ReplicaGroup& group, const Members& members,
                             base::Millis now);
  void drop_lost_learners(replication::ReplicaGroup& group) const;
  std::optional<std::int64_t> least_wanted(const SlotReplica& replica) const;
  void seek_learners(SlotReplica& replica, Members wanted, const membership::ReplicaCounts& counts,
                     base::Millis now) const;
  bool zone_could_be_new(const Members& members) const;
  /// Whether a list meets every row the table service may hold.
  static bool meets_rows(const SlotReplica& replica, const Members& members);

  const base::Knobs& knobs_;
  const membership::Membership& membership_;
};

}  // namespace sailgate::node
