/// @file Constants and helpers shared by the parts of ReplicaGroup.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

#include "base/time.hpp"
#include "sailgate_types.h"

namespace sailgate::replication {

/// A snapshot without an answer for this long is sent again.
constexpr base::Millis kSnapshotRetry = 2000;
/// A member that answered within this many heartbeats counts as there.
constexpr base::Millis kRecentHeartbeats = 3;
/// Smallest lease start that is never valid.
constexpr base::Millis kNoLease = -1;
/// The lease of a group whose only member is its leader.
constexpr base::Millis kAlways = std::numeric_limits<base::Millis>::max();

/// Whether a list names this member.
inline bool contains_member(const std::vector<wire::Member>& members, std::int64_t id) {
  return std::any_of(members.begin(), members.end(),
                     [id](const wire::Member& member) { return member.id == id; });
}

}  // namespace sailgate::replication
