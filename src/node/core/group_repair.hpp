/// @file Keeps a led group at its size, across zones, without leaving or dead members.
///
/// Steps, one member at a time:
///  1. A dead or long-suspected member is taken out, but never so that the members and a row the
///     table service may hold have nobody in common: a recovery trusts the row and must not
///     overlook a living group (docs/decisions/0004-slot-rows.md).
///  2. A group that is too small, has a leaving member or two members in one zone while another
///     zone has room gets a learner, which becomes a member once it has caught up.
///  3. A group that is too large loses a leaving member first, then one in a doubled zone.
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

  bool remove_lost(SlotReplica& replica, base::Millis now) const;
  bool promote_learner(SlotReplica& replica) const;
  void seek_learner(SlotReplica& replica, const membership::ReplicaCounts& counts,
                    base::Millis now) const;
  bool shrink(SlotReplica& replica) const;
  bool wants_addition(const Members& members, const std::vector<wire::Member>& usable) const;
  std::optional<std::int64_t> least_wanted(const Members& members, std::int64_t leader) const;
  /// Whether a list without `member` still meets every row the table service may hold.
  static bool removal_keeps_row(const SlotReplica& replica, std::int64_t member);

  const base::Knobs& knobs_;
  const membership::Membership& membership_;
};

}  // namespace sailgate::node
