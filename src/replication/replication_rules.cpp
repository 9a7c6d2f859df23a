#include "replication/replication_rules.hpp"

#include <algorithm>
#include <limits>

namespace sailgate::replication {

LogIndex ReplicationRules::committed_through(const std::vector<MemberProgress>& members) const {
  if (members.empty()) return 0;
  std::vector<LogIndex> matches;
  LogIndex lowest_unsuspected = std::numeric_limits<LogIndex>::max();
  for (const auto& member : members) {
    matches.push_back(member.match_index);
    if (!member.suspected) lowest_unsuspected = std::min(lowest_unsuspected, member.match_index);
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex majority = matches[members.size() / 2];
  return std::min(majority, lowest_unsuspected);
}

bool ReplicationRules::candidate_is_complete(View candidate_view, LogIndex candidate_index,
                                             View own_view, LogIndex own_index) const {
  if (candidate_view != own_view) return candidate_view > own_view;
  return candidate_index >= own_index;
}

bool ReplicationRules::may_support(base::Millis silent_for, const base::Knobs& knobs) const {
  return silent_for >= knobs.election_timeout;
}

bool ReplicationRules::lease_valid(base::Millis now, base::Millis lease_until) const {
  return now < lease_until;
}

}  // namespace sailgate::replication
