/// @file Constants and helpers shared by the parts of ReplicaGroup.
#pragma once

#include <limits>

#include "base/time.hpp"
#include "wire/members.hpp"

namespace sailgate::replication {

/// A snapshot without an answer for this long is sent again.
constexpr base::Millis kSnapshotRetry = 2000;
/// A member that answered within this many heartbeats counts as there.
constexpr base::Millis kRecentHeartbeats = 3;
/// Smallest lease start that is never valid.
constexpr base::Millis kNoLease = -1;
/// The lease of a group whose only member is its leader.
constexpr base::Millis kAlways = std::numeric_limits<base::Millis>::max();

using wire::contains_member;

}  // namespace sailgate::replication
