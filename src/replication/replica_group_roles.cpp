// Roles of a replica: following, campaigning, becoming leader, forgetting.
#include <algorithm>

#include "replication/group_constants.hpp"
#include "replication/replica_group.hpp"
#include "wire/union_values.hpp"

namespace sailgate::replication {

// ---------------------------------------------------------------- roles

void ReplicaGroup::follow(std::int64_t leader, View view, base::Millis now) {
  if (view > view_) {
    view_ = view;
    voted_for_ = 0;
  }
  leader_ = leader;
  last_leader_ = leader;
  heard_leader_at_ = now;
  role_ = Role::kFollower;
  update_passive_role();
  reset_election_timer(now);
}

void ReplicaGroup::adopt_view(View view, base::Millis now) {
  view_ = view;
  voted_for_ = 0;
  leader_ = 0;
  role_ = Role::kFollower;
  update_passive_role();
  reset_election_timer(now);
}

void ReplicaGroup::update_passive_role() {
  const bool member = is_member(context_.self);
  if (!member && role_ != Role::kLeader) role_ = Role::kPassive;
  if (member && role_ == Role::kPassive) role_ = Role::kFollower;
}

void ReplicaGroup::campaign(bool trial, bool transfer, base::Millis now, Outbox& outbox) {
  role_ = Role::kCandidate;
  leader_ = 0;
  campaign_is_trial_ = trial;
  campaign_is_transfer_ = transfer;
  votes_.clear();
  votes_[context_.self] = true;
  if (!trial) {
    ++view_;
    voted_for_ = context_.self;
  }
  reset_election_timer(now);
  wire::VoteRequest request;
  request.view = trial ? view_ + 1 : view_;
  request.last_index = log_.last_index();
  request.last_view = log_.last_view();
  request.trial = trial;
  request.transfer = transfer;
  const auto voters = others();
  for (const auto& member : voters) send(member.id, wire::as_body(request), outbox);
  if (!voters.empty()) return;
  if (trial) {
    campaign(false, transfer, now, outbox);
  } else {
    lead(now);
  }
}

void ReplicaGroup::lead(base::Millis now) {
  role_ = Role::kLeader;
  leader_ = context_.self;
  transfer_until_ = 0;
  peers_.clear();
  learners_.clear();
  for (const auto& member : others()) add_peer(member.id, log_.last_index() + 1, now);
  // The leader before has been silent for an election timeout: it must not hold up commits once
  // more.
  const auto predecessor = peers_.find(last_leader_);
  if (predecessor != peers_.end() && !campaign_is_transfer_) {
    predecessor->second.acknowledged_at = heard_leader_at_;
  }
  wire::LogRecord record;
  record.view = view_;
  record.entry.__set_view_started({});
  view_start_index_ = log_.append(std::move(record));
  advance_commit(now);
}

void ReplicaGroup::reset_election_timer(base::Millis now) {
  const auto timeout = context_.knobs.election_timeout;
  const auto spread = random_.below(static_cast<std::uint64_t>(timeout));
  election_due_ = now + timeout + static_cast<base::Millis>(spread);
}

void ReplicaGroup::on_tick(base::Millis now, Outbox& outbox) {
  if (role_ == Role::kLeader) {
    if (transfer_until_ != 0 && now >= transfer_until_) transfer_until_ = 0;
    for (auto& [id, peer] : peers_) replicate_to(id, peer, true, now, outbox);
    flushed_index_ = log_.last_index();
    advance_commit(now);
    return;
  }
  if (role_ != Role::kPassive && now >= election_due_) campaign(true, false, now, outbox);
}

}  // namespace sailgate::replication
