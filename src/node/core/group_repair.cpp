#include "node/core/group_repair.hpp"

#include <algorithm>
#include <set>

namespace sailgate::node {
namespace {

std::vector<wire::Member> without(std::vector<wire::Member> members, std::int64_t removed) {
  members.erase(
      std::remove_if(members.begin(), members.end(),
                     [removed](const wire::Member& member) { return member.id == removed; }),
      members.end());
  return members;
}

bool lists(const std::vector<wire::Member>& members, std::int64_t id) {
  return std::any_of(members.begin(), members.end(),
                     [id](const wire::Member& member) { return member.id == id; });
}

bool doubles_zone(const std::vector<wire::Member>& members, const wire::Member& candidate) {
  return std::count_if(members.begin(), members.end(), [&](const wire::Member& member) {
           return member.zone == candidate.zone;
         }) > 1;
}

}  // namespace

void GroupRepair::step(SlotReplica& replica, const membership::ReplicaCounts& counts,
                       base::Millis now) const {
  if (!replica.group().may_serve(now)) return;
  if (remove_lost(replica, now)) return;
  if (promote_learner(replica)) return;
  if (shrink(replica)) return;
  seek_learner(replica, counts, now);
}

bool GroupRepair::remove_lost(SlotReplica& replica, base::Millis now) const {
  auto& group = replica.group();
  const auto& members = group.log().members().members;
  // With two members left, removing one leaves a single copy: only a dead one may go then.
  for (const auto suspect : group.suspected_members(now)) {
    if (!membership_.is_dead(suspect)) continue;
    if (!removal_keeps_row(replica, suspect)) continue;
    return group.propose_members(without(members, suspect));
  }
  return false;
}

bool GroupRepair::promote_learner(SlotReplica& replica) const {
  auto& group = replica.group();
  for (const auto id : group.caught_up_learners()) {
    if (!membership_.is_usable(id)) continue;
    auto members = group.log().members().members;
    members.push_back(group.learners().at(id));
    return group.propose_members(members);
  }
  return false;
}

bool GroupRepair::shrink(SlotReplica& replica) const {
  auto& group = replica.group();
  const auto& members = group.log().members().members;
  if (members.size() <= knobs_.replica_count) return false;
  const auto chosen = least_wanted(members, group.leader());
  if (!chosen || !removal_keeps_row(replica, *chosen)) return false;
  return group.propose_members(without(members, *chosen));
}

std::optional<std::int64_t> GroupRepair::least_wanted(const Members& members,
                                                      std::int64_t leader) const {
  for (const auto& member : members) {
    if (member.id != leader && !membership_.is_usable(member.id)) return member.id;
  }
  for (const auto& member : members) {
    if (member.id != leader && doubles_zone(members, member)) return member.id;
  }
  for (const auto& member : members) {
    if (member.id != leader) return member.id;
  }
  return std::nullopt;
}

void GroupRepair::seek_learner(SlotReplica& replica, const membership::ReplicaCounts& counts,
                               base::Millis now) const {
  auto& group = replica.group();
  std::vector<std::int64_t> lost;
  for (const auto& [id, learner] : group.learners()) {
    if (!membership_.is_usable(id)) lost.push_back(id);
  }
  for (const auto id : lost) group.drop_learner(id);
  if (!group.learners().empty()) return;
  const auto& members = group.log().members().members;
  const auto usable = membership_.usable_members();
  if (!wants_addition(members, usable)) return;
  const auto chosen = membership::choose_addition(members, usable, counts);
  if (chosen) group.add_learner(*chosen, now);
}

bool GroupRepair::wants_addition(const Members& members,
                                 const std::vector<wire::Member>& usable) const {
  if (members.size() < knobs_.replica_count) return true;
  if (members.size() > knobs_.replica_count) return false;
  std::set<std::string> held;
  bool doubled = false;
  for (const auto& member : members) {
    if (!membership_.is_usable(member.id) && membership_.is_live(member.id)) {
      const auto* rumor = membership_.table().find_member(member.id);
      if (rumor->status == wire::MemberStatus::kLeaving) return true;
    }
    doubled = !held.insert(member.zone).second || doubled;
  }
  if (!doubled) return false;
  return std::any_of(usable.begin(), usable.end(),
                     [&held](const wire::Member& member) { return held.count(member.zone) == 0; });
}

bool GroupRepair::removal_keeps_row(const SlotReplica& replica, std::int64_t member) {
  const auto remaining = without(replica.group().log().members().members, member);
  const auto& rows = replica.state().possible_rows();
  return std::all_of(rows.begin(), rows.end(), [&remaining](const wire::SlotRow& row) {
    return std::any_of(row.members.begin(), row.members.end(),
                       [&](const wire::Member& listed) { return lists(remaining, listed.id); });
  });
}

}  // namespace sailgate::node
