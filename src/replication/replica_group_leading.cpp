// What a replica does while it leads: replication, commits, member changes, handover.
#include <algorithm>

#include "replication/group_constants.hpp"
#include "replication/replica_group.hpp"
#include "wire/union_values.hpp"

namespace sailgate::replication {

// ---------------------------------------------------------------- leading

std::optional<LogIndex> ReplicaGroup::propose(wire::JournalEntry entry) {
  if (role_ != Role::kLeader || transfer_until_ != 0) return std::nullopt;
  wire::LogRecord record;
  record.view = view_;
  record.entry = std::move(entry);
  return log_.append(std::move(record));
}

void ReplicaGroup::flush(base::Millis now, Outbox& outbox) {
  if (role_ != Role::kLeader || flushed_index_ >= log_.last_index()) return;
  flushed_index_ = log_.last_index();
  for (auto& [id, peer] : peers_) {
    if (peer.next_index <= log_.last_index()) replicate_to(id, peer, false, now, outbox);
  }
  advance_commit(now);
}

void ReplicaGroup::replicate_to(std::int64_t member, Peer& peer, bool heartbeat, base::Millis now,
                                Outbox& outbox) {
  if (peer.next_index <= log_.base_index()) {
    send_snapshot(member, peer, now, outbox);
    if (!heartbeat) return;
  }
  wire::AppendRequest request;
  request.view = view_;
  request.previous_index = std::max(peer.next_index - 1, log_.base_index());
  request.previous_view = log_.view_at(request.previous_index);
  request.commit_index = commit_index_;
  request.sent_at = now;
  const bool ready = peer.next_index > log_.base_index();
  while (ready && peer.next_index <= log_.last_index() &&
         request.records.size() < context_.knobs.append_batch) {
    request.records.push_back(log_.at(peer.next_index));
    ++peer.next_index;
  }
  auto body = wire::as_body(std::move(request));
  send(member, std::move(body), outbox);
}

void ReplicaGroup::send_snapshot(std::int64_t member, Peer& peer, base::Millis now,
                                 Outbox& outbox) {
  if (peer.snapshot_sent_at != 0 && now - peer.snapshot_sent_at < kSnapshotRetry) return;
  peer.snapshot_sent_at = now;
  wire::InstallSnapshot snapshot;
  snapshot.view = view_;
  snapshot.last_index = applied_index_;
  snapshot.last_view = log_.view_at(applied_index_);
  const auto& list = log_.members_at(applied_index_);
  snapshot.members = list.members;
  snapshot.previous = list.previous;
  snapshot.members_index = list.index;
  snapshot.state = context_.state_machine.snapshot();
  snapshot.sent_at = now;
  auto body = wire::as_body(std::move(snapshot));
  send(member, std::move(body), outbox);
}

LogIndex ReplicaGroup::committed_in(const std::vector<wire::Member>& members,
                                    base::Millis now) const {
  std::vector<MemberProgress> progress;
  for (const auto& member : members) {
    if (member.id == context_.self) {
      progress.push_back({log_.last_index(), false});
      continue;
    }
    const auto found = peers_.find(member.id);
    if (found == peers_.end()) {
      progress.push_back({0, true});
    } else {
      progress.push_back({found->second.match_index, suspected(found->second, now)});
    }
  }
  return context_.rules->committed_through(progress);
}

void ReplicaGroup::advance_commit(base::Millis now) {
  const auto& lists = log_.members();
  LogIndex committed = committed_in(lists.members, now);
  if (lists.joint()) committed = std::min(committed, committed_in(lists.previous, now));
  // Only a record of the leader's own view commits those before it.
  if (committed > commit_index_ && log_.view_at(committed) == view_) commit_index_ = committed;
  apply_committed();
  end_member_change();
}

/// Once both lists are committed, the new one alone is proposed; once that is committed, a leader
/// that is not in it stops.
void ReplicaGroup::end_member_change() {
  const auto& lists = log_.members();
  if (role_ != Role::kLeader || lists.index > commit_index_) return;
  if (lists.joint()) {
    wire::MembersChanged changed;
    changed.members = lists.members;
    propose(wire::as_entry(std::move(changed)));
    // NOTE: members that leave must not get the new list before it is committed: they would hold
    // the longest log without being allowed to lead, and refuse everybody else.
    drop_unlisted_peers();
    return;
  }
  if (contains_member(lists.members, context_.self)) return;
  role_ = Role::kPassive;
  leader_ = 0;
}

void ReplicaGroup::drop_unlisted_peers() {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool needed = is_member(it->first) || learners_.count(it->first) > 0;
    it = needed ? std::next(it) : peers_.erase(it);
  }
}

void ReplicaGroup::apply_committed() {
  while (applied_index_ < commit_index_ && log_.contains(applied_index_ + 1)) {
    ++applied_index_;
    const auto& record = log_.at(applied_index_);
    const auto error = context_.state_machine.apply(record.entry);
    applied_.push_back({applied_index_, record.view, error});
  }
  const auto tail = static_cast<LogIndex>(context_.knobs.log_tail);
  if (applied_index_ - log_.base_index() > 2 * tail) {
    log_.discard_through(applied_index_ - tail);
  }
}

void ReplicaGroup::add_peer(std::int64_t member, LogIndex next_index, base::Millis now) {
  Peer peer;
  peer.next_index = next_index;
  peer.acknowledged_at = now;
  peer.acknowledged_sent_at = kNoLease - context_.knobs.lease_duration;
  peers_[member] = peer;
}

void ReplicaGroup::add_learner(const wire::Member& member, base::Millis now) {
  if (role_ != Role::kLeader || is_member(member.id) || learners_.count(member.id) > 0) return;
  learners_[member.id] = member;
  add_peer(member.id, log_.base_index() + 1, now);
  peers_[member.id].added_at = now;
}

void ReplicaGroup::drop_learner(std::int64_t member) {
  if (learners_.erase(member) > 0) peers_.erase(member);
}

std::vector<std::int64_t> ReplicaGroup::caught_up_learners() const {
  std::vector<std::int64_t> ready;
  const auto allowed_lag = static_cast<LogIndex>(context_.knobs.append_batch);
  for (const auto& [id, member] : learners_) {
    const auto& peer = peers_.at(id);
    const bool fed = peer.match_index > 0 && peer.match_index >= log_.base_index();
    if (fed && log_.last_index() - peer.match_index <= allowed_lag) ready.push_back(id);
  }
  return ready;
}

bool ReplicaGroup::members_settled() const {
  return !log_.members().joint() && log_.members().index <= commit_index_;
}

bool ReplicaGroup::propose_members(const std::vector<wire::Member>& members) {
  const bool settled = members_settled() && view_start_index_ <= commit_index_;
  if (role_ != Role::kLeader || !settled || transfer_until_ != 0) return false;
  if (!contains_member(members, context_.self)) return false;
  wire::MembersChanged changed;
  changed.members = members;
  changed.previous = log_.members().members;
  if (!propose(wire::as_entry(std::move(changed)))) return false;
  for (const auto& member : members) learners_.erase(member.id);
  return true;
}

bool ReplicaGroup::transfer_leadership(const std::set<std::int64_t>& eligible, base::Millis now,
                                       Outbox& outbox) {
  const bool settled = view_start_index_ <= commit_index_;
  if (role_ != Role::kLeader || !settled || transfer_until_ != 0) return false;
  std::int64_t best = 0;
  for (const auto& [id, peer] : peers_) {
    const bool up_to_date = peer.match_index >= log_.last_index() && !suspected(peer, now);
    if (is_member(id) && eligible.count(id) > 0 && up_to_date) best = id;
  }
  if (best == 0) return false;
  // From here on this replica neither serves nor proposes: the lease is given up before the
  // successor may be elected.
  transfer_until_ = now + context_.knobs.election_timeout;
  wire::ElectNow elect;
  elect.view = view_;
  auto body = wire::as_body(std::move(elect));
  send(best, std::move(body), outbox);
  return true;
}

}  // namespace sailgate::replication
