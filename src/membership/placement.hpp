/// @file Choice of the nodes that hold a slot's replicas.
///
/// Groups founded by the same node use the same partners, and groups with the same remaining
/// members choose the same replacement. A node so shares replicas with few peers, whose heartbeats
/// travel together, and the number of node sets whose joint loss matters stays small (copysets).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "sailgate_types.h"

namespace sailgate::membership {

/// Replicas held per member.
using ReplicaCounts = std::map<std::int64_t, std::size_t>;

/// Counts replicas in the known slot locations.
ReplicaCounts count_replicas(const std::map<std::int32_t, wire::SlotRumor>& slots);

/// Member that should found `slot`: highest rendezvous weight among `usable`.
std::optional<wire::Member> choose_founder(std::int32_t slot,
                                           const std::vector<wire::Member>& usable);

/// Member to add to `group`: in a zone without a replica if there is one, below the load cap, by
/// rendezvous weight keyed by the present members.
std::optional<wire::Member> choose_addition(const std::vector<wire::Member>& group,
                                            const std::vector<wire::Member>& usable,
                                            const ReplicaCounts& counts);

}  // namespace sailgate::membership
