#include "replication/replica_group.hpp"

#include <algorithm>

#include "replication/group_constants.hpp"
#include "wire/union_values.hpp"

namespace sailgate::replication {

ReplicaGroup::ReplicaGroup(Context context, base::Millis now)
    : context_(std::move(context)), random_(context_.seed) {
  reset_election_timer(now);
}

void ReplicaGroup::found(const wire::Member& self, Epoch epoch, base::Millis now) {
  retire(epoch);
  log_.reset(0, 0, {0, {self}, {}});
  view_ = 1;
  voted_for_ = context_.self;
  lead(now);
}

// ---------------------------------------------------------------- messages

void ReplicaGroup::on_message(std::int64_t sender, const wire::GroupMessage& message,
                              base::Millis now, Outbox& outbox) {
  if (message.epoch < epoch_) return;
  if (message.epoch > epoch_) retire(message.epoch);
  const auto& body = message.body;
  if (body.append_request) {
    on_append_request(sender, *body.append_request, now, outbox);
  } else if (body.append_reply) {
    on_append_reply(sender, *body.append_reply, now, outbox);
  } else if (body.vote_request) {
    on_vote_request(sender, *body.vote_request, now, outbox);
  } else if (body.vote_reply) {
    on_vote_reply(sender, *body.vote_reply, now, outbox);
  } else if (body.install_snapshot) {
    on_install_snapshot(sender, *body.install_snapshot, now, outbox);
  } else if (body.elect_now) {
    const bool current = body.elect_now->view == view_ && role_ == Role::kFollower;
    if (current && sender == leader_) campaign(false, true, now, outbox);
  } else if (body.removed) {
    on_removed(*body.removed);
  }
}

void ReplicaGroup::note_location(const wire::SlotRumor& location) {
  if (location.epoch < epoch_) return;
  if (location.epoch > epoch_) retire(location.epoch);
  const auto& members = location.members;
  const bool listed = std::find(members.begin(), members.end(), context_.self) != members.end();
  if (listed || role_ == Role::kPassive || role_ == Role::kLeader) return;
  wire::Removed removed;
  removed.view = location.view;
  removed.members_index = location.members_index;
  on_removed(removed);
}

void ReplicaGroup::on_append_request(std::int64_t sender, const wire::AppendRequest& request,
                                     base::Millis now, Outbox& outbox) {
  wire::AppendReply reply;
  reply.generation = generation_;
  reply.sent_at = request.sent_at;
  if (request.view < view_) {
    reply.view = view_;
    reply.accepted = false;
    reply.match_index = log_.last_index();
  } else {
    follow(sender, request.view, now);
    reply.view = view_;
    const bool before_base = request.previous_index < log_.base_index();
    const bool matches = log_.view_at(request.previous_index) == request.previous_view;
    if (!before_base && !matches) {
      reply.accepted = false;
      const bool gap = request.previous_index > log_.last_index();
      reply.match_index = gap ? log_.last_index() : commit_index_;
    } else {
      append_records(request);
      reply.accepted = true;
      reply.match_index = request.previous_index + static_cast<LogIndex>(request.records.size());
      const LogIndex known = std::min(request.commit_index, reply.match_index);
      commit_index_ = std::max(commit_index_, known);
      apply_committed();
    }
  }
  auto body = wire::as_body(std::move(reply));
  send(sender, std::move(body), outbox);
}

void ReplicaGroup::append_records(const wire::AppendRequest& request) {
  LogIndex index = request.previous_index;
  for (const auto& record : request.records) {
    ++index;
    if (index <= log_.base_index()) continue;
    if (log_.contains(index) && log_.view_at(index) == record.view) continue;
    if (log_.contains(index)) log_.truncate_from(index);
    log_.append(record);
  }
  update_passive_role();
}

void ReplicaGroup::on_append_reply(std::int64_t sender, const wire::AppendReply& reply,
                                   base::Millis now, Outbox& outbox) {
  if (reply.view > view_) {
    adopt_view(reply.view, now);
    return;
  }
  if (role_ != Role::kLeader || reply.view < view_) return;
  const auto found = peers_.find(sender);
  if (found == peers_.end()) return;
  auto& peer = found->second;
  // NOTE: a member that was removed and added again has dropped its log in between. An answer from
  // before must not count for the new one.
  if (reply.sent_at < peer.added_at || reply.generation < peer.generation) return;
  if (reply.generation > peer.generation) {
    peer.generation = reply.generation;
    peer.match_index = 0;
  }
  peer.acknowledged_at = now;
  peer.acknowledged_sent_at = std::max(peer.acknowledged_sent_at, reply.sent_at);
  if (reply.accepted) {
    peer.match_index = std::max(peer.match_index, reply.match_index);
    peer.next_index = std::max(peer.next_index, peer.match_index + 1);
    if (peer.match_index >= log_.base_index()) peer.snapshot_sent_at = 0;
    advance_commit(now);
    // NOTE: the commit may have ended a member change and dropped this peer.
    const auto still_peer = peers_.find(sender);
    if (still_peer == peers_.end()) return;
    if (still_peer->second.next_index <= log_.last_index()) {
      replicate_to(sender, still_peer->second, false, now, outbox);
    }
    return;
  }
  // Rejections of requests sent before the last step back are stale; answering each would multiply.
  if (reply.sent_at < peer.backed_off_at) return;
  peer.backed_off_at = now;
  peer.next_index = std::max(peer.match_index, std::min(reply.match_index, log_.last_index())) + 1;
  replicate_to(sender, peer, false, now, outbox);
}

void ReplicaGroup::on_vote_request(std::int64_t sender, const wire::VoteRequest& request,
                                   base::Millis now, Outbox& outbox) {
  if (role_ == Role::kLeader && !is_member(sender) && learners_.count(sender) == 0 &&
      members_settled()) {
    wire::Removed removed;
    removed.view = view_;
    removed.members_index = log_.members().index;
    auto body = wire::as_body(std::move(removed));
    send(sender, std::move(body), outbox);
    return;
  }
  const bool leads = role_ == Role::kLeader && context_.rules->lease_valid(now, lease_until());
  const bool silent = context_.rules->may_support(now - heard_leader_at_, context_.knobs);
  const bool supportable = request.transfer || (!leads && silent);
  // NOTE: a removed replica dropped its log. What it holds then says nothing about which candidate
  // is complete, and a candidate that missed the removal still counts its vote.
  const bool log_dropped = log_.last_index() < removed_through_;
  const bool complete =
      !log_dropped && context_.rules->candidate_is_complete(request.last_view, request.last_index,
                                                            log_.last_view(), log_.last_index());
  wire::VoteReply reply;
  reply.trial = request.trial;
  if (request.trial) {
    reply.view = request.view;
    reply.granted = supportable && complete && request.view > view_;
  } else {
    if (!supportable && request.view > view_) return;
    if (request.view > view_) adopt_view(request.view, now);
    const bool free_vote = voted_for_ == 0 || voted_for_ == sender;
    reply.view = view_;
    reply.granted = request.view == view_ && free_vote && complete && role_ != Role::kLeader;
    if (reply.granted) {
      voted_for_ = sender;
      reset_election_timer(now);
    }
  }
  auto body = wire::as_body(std::move(reply));
  send(sender, std::move(body), outbox);
}

void ReplicaGroup::on_vote_reply(std::int64_t sender, const wire::VoteReply& reply,
                                 base::Millis now, Outbox& outbox) {
  if (!reply.trial && reply.view > view_) {
    adopt_view(reply.view, now);
    return;
  }
  if (role_ != Role::kCandidate || reply.trial != campaign_is_trial_ || !reply.granted) return;
  const View wanted = campaign_is_trial_ ? view_ + 1 : view_;
  if (reply.view != wanted) return;
  votes_[sender] = true;
  const auto& lists = log_.members();
  const bool elected =
      supported_in(lists.members) && (!lists.joint() || supported_in(lists.previous));
  if (!elected) return;
  if (campaign_is_trial_) {
    campaign(false, false, now, outbox);
  } else {
    lead(now);
    flush(now, outbox);
  }
}

bool ReplicaGroup::supported_in(const std::vector<wire::Member>& members) const {
  const auto support = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [this](const wire::Member& member) { return votes_.count(member.id) > 0; }));
  return support > members.size() / 2;
}

void ReplicaGroup::on_install_snapshot(std::int64_t sender, const wire::InstallSnapshot& snapshot,
                                       base::Millis now, Outbox& outbox) {
  if (snapshot.view < view_) return;
  follow(sender, snapshot.view, now);
  const bool in_log =
      log_.contains(snapshot.last_index) && log_.view_at(snapshot.last_index) == snapshot.last_view;
  if (in_log) {
    // A late copy: records behind it may have been acknowledged and must stay.
    commit_index_ = std::max(commit_index_, snapshot.last_index);
    apply_committed();
  } else if (snapshot.last_index > applied_index_) {
    context_.state_machine.restore(snapshot.state);
    log_.reset(snapshot.last_index, snapshot.last_view,
               {snapshot.members_index, snapshot.members, snapshot.previous});
    commit_index_ = snapshot.last_index;
    applied_index_ = snapshot.last_index;
    update_passive_role();
  }
  wire::AppendReply reply;
  reply.view = view_;
  reply.accepted = true;
  reply.generation = generation_;
  reply.match_index = snapshot.last_index;
  reply.sent_at = snapshot.sent_at;
  auto body = wire::as_body(std::move(reply));
  send(sender, std::move(body), outbox);
}

/// NOTE: a delayed copy may arrive while this replica is being added again. Dropping the log then
/// would take back acknowledgements, so that each removal takes effect once.
void ReplicaGroup::on_removed(const wire::Removed& removed) {
  const bool known = removed.members_index <= std::max(log_.members().index, removed_through_);
  if (removed.view < view_ || known) return;
  removed_through_ = removed.members_index;
  // NOTE: the vote of a view outlives the log, or this replica could support two leaders of it.
  if (removed.view > view_) voted_for_ = 0;
  view_ = removed.view;
  forget_state();
}

void ReplicaGroup::retire(Epoch epoch) {
  if (epoch <= epoch_) return;
  epoch_ = epoch;
  view_ = 0;
  voted_for_ = 0;
  removed_through_ = 0;
  forget_state();
}

/// Becomes passive and empty.
void ReplicaGroup::forget_state() {
  ++generation_;
  role_ = Role::kPassive;
  leader_ = 0;
  commit_index_ = 0;
  applied_index_ = 0;
  view_start_index_ = 0;
  flushed_index_ = 0;
  peers_.clear();
  learners_.clear();
  log_.reset(0, 0, {0, {}, {}});
  context_.state_machine.restore({});
}

// ---------------------------------------------------------------- reading

bool ReplicaGroup::is_member(std::int64_t member) const {
  const auto& lists = log_.members();
  return contains_member(lists.members, member) || contains_member(lists.previous, member);
}

std::vector<wire::Member> ReplicaGroup::others() const {
  const auto& lists = log_.members();
  std::vector<wire::Member> result;
  for (const auto* list : {&lists.members, &lists.previous}) {
    for (const auto& member : *list) {
      if (member.id != context_.self && !contains_member(result, member.id)) {
        result.push_back(member);
      }
    }
  }
  return result;
}

bool ReplicaGroup::suspected(const Peer& peer, base::Millis now) const {
  return now - peer.acknowledged_at > context_.knobs.suspicion_timeout;
}

bool ReplicaGroup::fed_lately(base::Millis now) const {
  return leader_ != 0 && now - heard_leader_at_ <= context_.knobs.suspicion_timeout;
}

bool ReplicaGroup::heard_lately(std::int64_t member, base::Millis now) const {
  const auto found = peers_.find(member);
  const bool heard =
      found != peers_.end() &&
      now - found->second.acknowledged_at <= kRecentHeartbeats * context_.knobs.heartbeat_interval;
  return member == context_.self || heard;
}

base::Millis ReplicaGroup::lease_in(const std::vector<wire::Member>& members) const {
  std::vector<base::Millis> sent;
  for (const auto& member : members) {
    const auto found = peers_.find(member.id);
    if (member.id == context_.self) {
      sent.push_back(kAlways);
    } else if (found != peers_.end()) {
      sent.push_back(found->second.acknowledged_sent_at + context_.knobs.lease_duration);
    }
  }
  const std::size_t quorum = members.size() / 2 + 1;
  if (sent.size() < quorum) return kNoLease;
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return sent[quorum - 1];
}

base::Millis ReplicaGroup::lease_until() const {
  const auto& lists = log_.members();
  const auto lease = lease_in(lists.members);
  return lists.joint() ? std::min(lease, lease_in(lists.previous)) : lease;
}

bool ReplicaGroup::may_serve(base::Millis now) const {
  const bool complete = role_ == Role::kLeader && view_start_index_ <= applied_index_;
  return complete && transfer_until_ == 0 && context_.rules->lease_valid(now, lease_until());
}

std::vector<AppliedRecord> ReplicaGroup::take_applied() {
  std::vector<AppliedRecord> taken;
  taken.swap(applied_);
  return taken;
}

void ReplicaGroup::send(std::int64_t receiver, wire::GroupBody body, Outbox& outbox) const {
  wire::GroupMessage message;
  message.slot = context_.slot;
  message.epoch = epoch_;
  message.body = std::move(body);
  outbox[receiver].push_back(std::move(message));
}

}  // namespace sailgate::replication
