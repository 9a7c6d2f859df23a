/// @file The safety checks of replication, replaceable by a proof (docs/PROOFS.md).
#pragma once

#include <vector>

#include "base/knobs.hpp"
#include "replication/replicated_log.hpp"

namespace sailgate::replication {

/// What a leader knows of one member when it decides on a commit.
struct MemberProgress {
  LogIndex match_index = 0;  ///< highest index known to be in the member's log
  bool suspected = false;    ///< no acknowledgement for Knobs::suspicion_timeout
};

/// Rules of one replica group. Must be pure.
class ReplicationRules {
 public:
  ReplicationRules() = default;
  ReplicationRules(const ReplicationRules&) = delete;
  ReplicationRules& operator=(const ReplicationRules&) = delete;
  virtual ~ReplicationRules() = default;

  /// Highest index that is committed: held by a majority and by every member not suspected, so
  /// that one survivor normally holds everything (docs/decisions/0003-commit-rule.md).
  virtual LogIndex committed_through(const std::vector<MemberProgress>& members) const;

  /// A voter supports only a candidate whose log is at least as complete as its own.
  virtual bool candidate_is_complete(View candidate_view, LogIndex candidate_index, View own_view,
                                     LogIndex own_index) const;

  /// A voter that heard from a leader within the election timeout supports nobody else; the
  /// leader's lease rests on this.
  virtual bool may_support(base::Millis silent_for, const base::Knobs& knobs) const;

  /// A leader acts on its own state only within its lease.
  virtual bool lease_valid(base::Millis now, base::Millis lease_until) const;
};

}  // namespace sailgate::replication
