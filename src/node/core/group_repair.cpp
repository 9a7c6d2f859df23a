#include "node/core/group_repair.hpp"

#include <algorithm>
#include <set>
#include <string>

#include "wire/members.hpp"

namespace sailgate::node {
namespace {

bool holds_zone(const std::vector<wire::Member>& members, const std::string& zone) {
  return std::any_of(members.begin(), members.end(),
                     [&zone](const wire::Member& member) { return member.zone == zone; });
}

void remove_member(std::vector<wire::Member>& members, std::int64_t id) {
  members.erase(std::remove_if(members.begin(), members.end(),
                               [id](const wire::Member& member) { return member.id == id; }),
                members.end());
}

}  // namespace

void GroupRepair::step(SlotReplica& replica, const membership::ReplicaCounts& counts,
                       base::Millis now) const {
  auto& group = replica.group();
  if (!group.may_serve(now) || !group.members_settled()) return;
  drop_lost_learners(group);
  const auto& current = group.log().members().members;
  const auto outgoing = least_wanted(replica);
  const bool short_of_members = current.size() < knobs_.replica_count;
  if (!short_of_members && !outgoing) return;
  auto wanted = current;
  if (outgoing && !short_of_members) remove_member(wanted, *outgoing);
  for (const auto id : group.caught_up_learners()) {
    if (wanted.size() < knobs_.replica_count) wanted.push_back(group.learners().at(id));
  }
  const bool none_better = membership_.usable_members().size() <= wanted.size();
  const bool full = wanted.size() == knobs_.replica_count;
  const bool better = full || (wanted.size() > current.size() && none_better);
  const auto newcomers_there =
      std::all_of(wanted.begin(), wanted.end(), [&](const wire::Member& member) {
        return group.is_member(member.id) || group.heard_lately(member.id, now);
      });
  if (better && newcomers_there && majority_there(group, wanted, now) &&
      meets_rows(replica, wanted)) {
    group.propose_members(wanted);
    return;
  }
  seek_learners(replica, wanted, counts, now);
}

/// Whether most members of a list answered lately: a change that cannot be committed soon is not
/// begun, because it cannot be taken back.
bool GroupRepair::majority_there(const replication::ReplicaGroup& group, const Members& members,
                                 base::Millis now) {
  const auto there = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [&](const wire::Member& member) { return group.heard_lately(member.id, now); }));
  return there > members.size() / 2;
}

void GroupRepair::drop_lost_learners(replication::ReplicaGroup& group) const {
  std::vector<std::int64_t> lost;
  for (const auto& [id, learner] : group.learners()) {
    if (!membership_.is_usable(id)) lost.push_back(id);
  }
  for (const auto id : lost) group.drop_learner(id);
}

/// The one member to replace next: a dead one, else a leaving one, else one that shares its zone
/// although another zone has room.
std::optional<std::int64_t> GroupRepair::least_wanted(const SlotReplica& replica) const {
  const auto& group = replica.group();
  const auto& current = group.log().members().members;
  const auto* leaving = static_cast<const wire::Member*>(nullptr);
  for (const auto& member : current) {
    if (member.id == group.leader()) continue;
    if (membership_.is_dead(member.id)) return member.id;
    const auto* rumor = membership_.table().find_member(member.id);
    if (rumor->status == wire::MemberStatus::kLeaving) leaving = &member;
  }
  if (leaving != nullptr) return leaving->id;
  if (!zone_could_be_new(current)) return std::nullopt;
  for (const auto& member : current) {
    auto others = current;
    remove_member(others, member.id);
    if (member.id != group.leader() && holds_zone(others, member.zone)) return member.id;
  }
  return std::nullopt;
}

/// Whether two members share a zone while a usable node in a zone without a member exists.
bool GroupRepair::zone_could_be_new(const Members& members) const {
  std::set<std::string> zones;
  for (const auto& member : members) zones.insert(member.zone);
  if (zones.size() == members.size()) return false;
  const auto usable = membership_.usable_members();
  return std::any_of(usable.begin(), usable.end(), [&zones](const wire::Member& member) {
    return zones.count(member.zone) == 0;
  });
}

void GroupRepair::seek_learners(SlotReplica& replica, Members wanted,
                                const membership::ReplicaCounts& counts, base::Millis now) const {
  auto& group = replica.group();
  for (const auto& [id, learner] : group.learners()) {
    if (!wire::contains_member(wanted, id)) wanted.push_back(learner);
  }
  auto usable = membership_.usable_members();
  // A member that is to go must not come back as its own replacement.
  usable.erase(
      std::remove_if(usable.begin(), usable.end(),
                     [&](const wire::Member& member) { return group.is_member(member.id); }),
      usable.end());
  while (wanted.size() < knobs_.replica_count) {
    const auto chosen = membership::choose_addition(wanted, usable, counts);
    if (!chosen) return;
    group.add_learner(*chosen, now);
    wanted.push_back(*chosen);
  }
}

bool GroupRepair::meets_rows(const SlotReplica& replica, const Members& members) {
  const auto& rows = replica.state().possible_rows();
  return std::all_of(rows.begin(), rows.end(), [&members](const wire::SlotRow& row) {
    return std::any_of(row.members.begin(), row.members.end(), [&](const wire::Member& listed) {
      return wire::contains_member(members, listed.id);
    });
  });
}

}  // namespace sailgate::node
