#include "replication/replica_group.hpp"

#include <algorithm>
#include <limits>

namespace sailgate::replication {
namespace {

/// A snapshot without an answer for this long is sent again.
constexpr base::Millis kSnapshotRetry = 2000;
/// Smallest lease start that is never valid.
constexpr base::Millis kNoLease = -1;

bool contains_member(const std::vector<wire::Member>& members, std::int64_t id) {
  return std::any_of(members.begin(), members.end(),
                     [id](const wire::Member& member) { return member.id == id; });
}

std::size_t difference(const std::vector<wire::Member>& left,
                       const std::vector<wire::Member>& right) {
  return static_cast<std::size_t>(std::count_if(
      left.begin(), left.end(),
      [&right](const wire::Member& member) { return !contains_member(right, member.id); }));
}

}  // namespace

ReplicaGroup::ReplicaGroup(Context context, base::Millis now)
    : context_(std::move(context)), random_(context_.seed) {
  reset_election_timer(now);
}

void ReplicaGroup::found(const wire::Member& self, Epoch epoch, base::Millis now) {
  retire(epoch);
  log_.reset(0, 0, {0, {self}});
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
  if (body.__isset.append_request) {
    on_append_request(sender, body.append_request, now, outbox);
  } else if (body.__isset.append_reply) {
    on_append_reply(sender, body.append_reply, now, outbox);
  } else if (body.__isset.vote_request) {
    on_vote_request(sender, body.vote_request, now, outbox);
  } else if (body.__isset.vote_reply) {
    on_vote_reply(sender, body.vote_reply, now, outbox);
  } else if (body.__isset.install_snapshot) {
    on_install_snapshot(sender, body.install_snapshot, now, outbox);
  } else if (body.__isset.elect_now) {
    const bool current = body.elect_now.view == view_ && role_ == Role::kFollower;
    if (current && sender == leader_) campaign(false, true, now, outbox);
  } else if (body.__isset.removed) {
    on_removed(body.removed);
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
  wire::GroupBody body;
  body.__set_append_reply(reply);
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
  peer.acknowledged_at = now;
  peer.acknowledged_sent_at = std::max(peer.acknowledged_sent_at, reply.sent_at);
  if (reply.accepted) {
    peer.match_index = std::max(peer.match_index, reply.match_index);
    peer.next_index = std::max(peer.next_index, peer.match_index + 1);
    if (peer.match_index >= log_.base_index()) peer.snapshot_sent_at = 0;
    advance_commit(now);
    if (peer.next_index <= log_.last_index()) replicate_to(sender, peer, false, now, outbox);
    return;
  }
  peer.next_index = std::max(peer.match_index, std::min(reply.match_index, log_.last_index())) + 1;
  replicate_to(sender, peer, false, now, outbox);
}

void ReplicaGroup::on_vote_request(std::int64_t sender, const wire::VoteRequest& request,
                                   base::Millis now, Outbox& outbox) {
  if (role_ == Role::kLeader && !is_member(sender) && learners_.count(sender) == 0 &&
      log_.members().index <= commit_index_) {
    wire::Removed removed;
    removed.view = view_;
    removed.members_index = log_.members().index;
    wire::GroupBody body;
    body.__set_removed(removed);
    send(sender, std::move(body), outbox);
    return;
  }
  const bool leads = role_ == Role::kLeader && context_.rules->lease_valid(now, lease_until());
  const bool silent = context_.rules->may_support(now - heard_leader_at_, context_.knobs);
  const bool supportable = request.transfer || (!leads && silent);
  const bool complete = context_.rules->candidate_is_complete(request.last_view, request.last_index,
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
  wire::GroupBody body;
  body.__set_vote_reply(reply);
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
  const auto& members = log_.members().members;
  const auto support = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [this](const wire::Member& member) { return votes_.count(member.id) > 0; }));
  if (support <= members.size() / 2) return;
  if (campaign_is_trial_) {
    campaign(false, false, now, outbox);
  } else {
    lead(now);
    flush(now, outbox);
  }
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
    log_.reset(snapshot.last_index, snapshot.last_view, {snapshot.members_index, snapshot.members});
    commit_index_ = snapshot.last_index;
    applied_index_ = snapshot.last_index;
    update_passive_role();
  }
  wire::AppendReply reply;
  reply.view = view_;
  reply.accepted = true;
  reply.match_index = snapshot.last_index;
  reply.sent_at = snapshot.sent_at;
  wire::GroupBody body;
  body.__set_append_reply(reply);
  send(sender, std::move(body), outbox);
}

/// NOTE: a delayed copy may arrive while this replica is being added again. Dropping the log then
/// would take back acknowledgements, so that each removal takes effect once.
void ReplicaGroup::on_removed(const wire::Removed& removed) {
  const bool known = removed.members_index <= std::max(log_.members().index, removed_through_);
  if (removed.view < view_ || known) return;
  removed_through_ = removed.members_index;
  view_ = removed.view;
  forget_state();
}

void ReplicaGroup::retire(Epoch epoch) {
  if (epoch <= epoch_) return;
  epoch_ = epoch;
  view_ = 0;
  removed_through_ = 0;
  forget_state();
}

/// Becomes passive and empty.
void ReplicaGroup::forget_state() {
  voted_for_ = 0;
  role_ = Role::kPassive;
  leader_ = 0;
  commit_index_ = 0;
  applied_index_ = 0;
  view_start_index_ = 0;
  flushed_index_ = 0;
  peers_.clear();
  learners_.clear();
  log_.reset(0, 0, {0, {}});
  context_.state_machine.restore({});
}

// ---------------------------------------------------------------- roles

void ReplicaGroup::follow(std::int64_t leader, View view, base::Millis now) {
  if (view > view_) {
    view_ = view;
    voted_for_ = 0;
  }
  leader_ = leader;
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
  for (const auto& member : log_.members().members) {
    if (member.id == context_.self) continue;
    wire::GroupBody body;
    body.__set_vote_request(request);
    send(member.id, std::move(body), outbox);
  }
  if (log_.members().members.size() > 1) return;
  if (trial) {
    campaign(false, transfer, now, outbox);
  } else {
    lead(now);
  }
}

void ReplicaGroup::lead(base::Millis now) {
  role_ = Role::kLeader;
  leader_ = context_.self;
  led_since_ = now;
  transfer_until_ = 0;
  peers_.clear();
  learners_.clear();
  for (const auto& member : log_.members().members) {
    if (member.id == context_.self) continue;
    Peer peer;
    peer.next_index = log_.last_index() + 1;
    peer.acknowledged_at = now;
    peer.acknowledged_sent_at = kNoLease - context_.knobs.lease_duration;
    peers_.emplace(member.id, peer);
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
  wire::GroupBody body;
  body.__set_append_request(request);
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
  snapshot.members_index = list.index;
  snapshot.state = context_.state_machine.snapshot();
  snapshot.sent_at = now;
  wire::GroupBody body;
  body.__set_install_snapshot(snapshot);
  send(member, std::move(body), outbox);
}

void ReplicaGroup::advance_commit(base::Millis now) {
  std::vector<MemberProgress> progress;
  for (const auto& member : log_.members().members) {
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
  const LogIndex committed = context_.rules->committed_through(progress);
  // Only a record of the leader's own view commits those before it.
  if (committed > commit_index_ && log_.view_at(committed) == view_) commit_index_ = committed;
  apply_committed();
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

void ReplicaGroup::add_learner(const wire::Member& member, base::Millis now) {
  if (role_ != Role::kLeader || is_member(member.id) || learners_.count(member.id) > 0) return;
  learners_[member.id] = member;
  Peer peer;
  peer.next_index = log_.base_index() + 1;
  peer.acknowledged_at = now;
  peer.acknowledged_sent_at = kNoLease - context_.knobs.lease_duration;
  peers_[member.id] = peer;
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

bool ReplicaGroup::propose_members(const std::vector<wire::Member>& members) {
  const bool settled = log_.members().index <= commit_index_ && view_start_index_ <= commit_index_;
  if (role_ != Role::kLeader || !settled || transfer_until_ != 0) return false;
  if (!contains_member(members, context_.self)) return false;
  const auto& current = log_.members().members;
  const std::size_t removed = difference(current, members);
  const std::size_t added = difference(members, current);
  if (removed + added != 1) return false;
  wire::MembersChanged changed;
  changed.members = members;
  wire::JournalEntry entry;
  entry.__set_members_changed(changed);
  if (!propose(std::move(entry))) return false;
  for (const auto& member : members) learners_.erase(member.id);
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool needed = contains_member(members, it->first) || learners_.count(it->first) > 0;
    it = needed ? std::next(it) : peers_.erase(it);
  }
  return true;
}

bool ReplicaGroup::transfer_leadership(base::Millis now, Outbox& outbox) {
  if (role_ != Role::kLeader || transfer_until_ != 0) return false;
  std::int64_t best = 0;
  LogIndex best_match = -1;
  for (const auto& [id, peer] : peers_) {
    if (!is_member(id) || suspected(peer, now) || peer.match_index <= best_match) continue;
    best = id;
    best_match = peer.match_index;
  }
  if (best == 0 || best_match < log_.last_index()) return false;
  // From here on this replica neither serves nor proposes: the lease is given up before the
  // successor may be elected.
  transfer_until_ = now + context_.knobs.election_timeout;
  wire::ElectNow elect;
  elect.view = view_;
  wire::GroupBody body;
  body.__set_elect_now(elect);
  send(best, std::move(body), outbox);
  return true;
}

// ---------------------------------------------------------------- reading

bool ReplicaGroup::is_member(std::int64_t member) const {
  return contains_member(log_.members().members, member);
}

bool ReplicaGroup::suspected(const Peer& peer, base::Millis now) const {
  return now - peer.acknowledged_at > context_.knobs.suspicion_timeout;
}

std::vector<std::int64_t> ReplicaGroup::suspected_members(base::Millis now) const {
  std::vector<std::int64_t> result;
  for (const auto& [id, peer] : peers_) {
    if (is_member(id) && suspected(peer, now)) result.push_back(id);
  }
  return result;
}

base::Millis ReplicaGroup::lease_until() const {
  const auto& members = log_.members().members;
  std::vector<base::Millis> sent;
  for (const auto& member : members) {
    const auto found = peers_.find(member.id);
    if (found != peers_.end()) sent.push_back(found->second.acknowledged_sent_at);
  }
  const std::size_t needed = members.size() / 2;  // besides the leader itself
  if (needed == 0) return std::numeric_limits<base::Millis>::max();
  if (sent.size() < needed) return kNoLease;
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return sent[needed - 1] + context_.knobs.lease_duration;
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
