/// @file One replica of one slot's group: a replicated log in memory without any disk.
///
/// Protocol (Raft family, with the changes a diskless process needs):
///  1. A member is one incarnation of a process. A restarted process has a new id and is a
///     stranger to every group until a member list that names it is committed.
///  2. Views number leaderships. A candidate first asks for trial votes, so that a replica that
///     was cut off does not raise the view; then for votes, from the members of its newest list.
///  3. A voter that heard from a leader within the election timeout supports nobody else. A leader
///     holds a lease counted from the send time of heartbeats that a majority acknowledged; the
///     lease is shorter than the election timeout by more than the clock drift.
///  4. A record is committed when a majority and every member not suspected holds it.
///  5. Members change by joint consensus: from the record that proposes a list to the one that ends
///     the change, both lists are in force and every decision needs a majority of each. So a member
///     can be replaced without ever needing the newcomer or the lost one. A newcomer is first a
///     learner, fed by a snapshot and the log, and is listed once it has caught up.
///  6. Epochs number foundings and recoveries of the slot; the table service arbitrates them. A
///     replica of an older epoch that learns of a newer one drops what it holds.
///  7. For a planned stop the leader gives up its lease, then tells an up-to-date follower to
///     campaign at once.
///
/// Recovery: after a failure of a minority the rest elects a leader whose log contains every
/// committed record; the first record of its view commits what came before it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/knobs.hpp"
#include "base/random.hpp"
#include "replication/outbox.hpp"
#include "replication/replicated_log.hpp"
#include "replication/replication_rules.hpp"
#include "replication/state_machine.hpp"

namespace sailgate::replication {

enum class Role {
  kPassive,  ///< not in the member list: a learner or a removed member
  kFollower,
  kCandidate,  ///< asks for trial votes or votes
  kLeader,
};

/// A record that was applied on this replica.
struct AppliedRecord {
  LogIndex index = 0;
  View view = 0;
  wire::ErrorKind::type error = wire::ErrorKind::kNone;
};

/// Deterministic core of one replica. Not thread-safe.
class ReplicaGroup {
 public:
  /// What the group was made with; references must outlive it.
  struct Context {
    std::int32_t slot = 0;
    std::int64_t self = 0;
    const base::Knobs& knobs;
    std::shared_ptr<const ReplicationRules> rules;
    StateMachine& state_machine;
    std::uint64_t seed = 0;
  };

  ReplicaGroup(Context context, base::Millis now);

  /// First start or recovery: becomes the only member and the leader. The caller must hold the
  /// slot's row in the table service with that epoch.
  void found(const wire::Member& self, Epoch epoch, base::Millis now);

  /// Handles one message. One of an older epoch is dropped; one of a newer epoch makes this replica
  /// forget the older group first.
  void on_message(std::int64_t sender, const wire::GroupMessage& message, base::Millis now,
                  Outbox& outbox);
  /// Takes note of a committed member list learned from outside the group.
  void note_location(const wire::SlotRumor& location);
  /// The slot was founded again or recovered with a newer epoch: forgets the older group.
  void retire(Epoch epoch);
  /// Heartbeats, elections, retransmission; call every Knobs::heartbeat_interval.
  void on_tick(base::Millis now, Outbox& outbox);
  /// Sends records appended since the last flush and advances the commit index.
  void flush(base::Millis now, Outbox& outbox);

  /// Appends an entry. @return its index, or nothing when this replica does not lead or is handing
  /// over. The entry is committed only when it shows up in take_applied() with the same view.
  std::optional<LogIndex> propose(wire::JournalEntry entry);

  /// Starts feeding a newcomer.
  void add_learner(const wire::Member& member, base::Millis now);
  void drop_learner(std::int64_t member);
  /// @return learners whose log is at most Knobs::append_batch records behind.
  std::vector<std::int64_t> caught_up_learners() const;
  const std::map<std::int64_t, wire::Member>& learners() const { return learners_; }
  /// Proposes a new list, which must keep the leader.
  /// @return false while another change is under way.
  bool propose_members(const std::vector<wire::Member>& members);
  /// Whether the newest list is committed and no change is under way.
  bool members_settled() const;
  /// Hands leadership to an up-to-date follower among `eligible`.
  /// @return false when there is none, or this view has not committed anything yet.
  bool transfer_leadership(const std::set<std::int64_t>& eligible, base::Millis now,
                           Outbox& outbox);

  Role role() const { return role_; }
  View view() const { return view_; }
  Epoch epoch() const { return epoch_; }
  std::int64_t leader() const { return leader_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  /// Leader whose state holds every committed entry and whose lease runs: it may answer from its
  /// state and grant attempts.
  bool may_serve(base::Millis now) const;
  const ReplicatedLog& log() const { return log_; }
  LogIndex commit_index() const { return commit_index_; }
  /// Whether a list in force names this member.
  bool is_member(std::int64_t member) const;
  /// Whether a leader sent something lately: a learner that is fed may soon be listed.
  bool fed_lately(base::Millis now) const;
  /// Whether a member or learner answered within the last few heartbeats, as the leader sees it.
  bool heard_lately(std::int64_t member, base::Millis now) const;
  /// Records applied since the last call, in order.
  std::vector<AppliedRecord> take_applied();

 private:
  struct Peer {
    LogIndex next_index = 1;
    LogIndex match_index = 0;
    base::Millis acknowledged_at = 0;       ///< when the last answer arrived
    base::Millis acknowledged_sent_at = 0;  ///< send time of the newest acknowledged request
    base::Millis snapshot_sent_at = 0;      ///< 0 when no snapshot is under way
    base::Millis added_at = 0;              ///< answers to requests sent before do not count
    base::Millis backed_off_at = 0;         ///< last time a rejection moved next_index
    std::int32_t generation = 0;            ///< of the peer's log
  };

  void on_append_request(std::int64_t sender, const wire::AppendRequest& request, base::Millis now,
                         Outbox& outbox);
  void on_append_reply(std::int64_t sender, const wire::AppendReply& reply, base::Millis now,
                       Outbox& outbox);
  void on_vote_request(std::int64_t sender, const wire::VoteRequest& request, base::Millis now,
                       Outbox& outbox);
  void on_vote_reply(std::int64_t sender, const wire::VoteReply& reply, base::Millis now,
                     Outbox& outbox);
  void on_install_snapshot(std::int64_t sender, const wire::InstallSnapshot& snapshot,
                           base::Millis now, Outbox& outbox);
  void on_removed(const wire::Removed& removed);
  void forget_state();

  void follow(std::int64_t leader, View view, base::Millis now);
  void adopt_view(View view, base::Millis now);
  void campaign(bool trial, bool transfer, base::Millis now, Outbox& outbox);
  void lead(base::Millis now);
  void append_records(const wire::AppendRequest& request);
  void replicate_to(std::int64_t member, Peer& peer, bool heartbeat, base::Millis now,
                    Outbox& outbox);
  void send_snapshot(std::int64_t member, Peer& peer, base::Millis now, Outbox& outbox);
  void advance_commit(base::Millis now);
  void apply_committed();
  void end_member_change();
  void drop_unlisted_peers();
  LogIndex committed_in(const std::vector<wire::Member>& members, base::Millis now) const;
  bool supported_in(const std::vector<wire::Member>& members) const;
  base::Millis lease_in(const std::vector<wire::Member>& members) const;
  /// Members of the lists in force other than this one.
  std::vector<wire::Member> others() const;
  void add_peer(std::int64_t member, LogIndex next_index, base::Millis now);
  void reset_election_timer(base::Millis now);
  void update_passive_role();
  bool suspected(const Peer& peer, base::Millis now) const;
  base::Millis lease_until() const;
  void send(std::int64_t receiver, wire::GroupBody body, Outbox& outbox) const;

  Context context_;
  base::Random random_;
  ReplicatedLog log_;
  Role role_ = Role::kPassive;
  Epoch epoch_ = 0;
  View view_ = 0;
  std::int64_t voted_for_ = 0;
  std::int64_t leader_ = 0;
  std::int64_t last_leader_ = 0;
  LogIndex commit_index_ = 0;
  LogIndex applied_index_ = 0;
  LogIndex view_start_index_ = 0;
  LogIndex flushed_index_ = 0;
  LogIndex removed_through_ = 0;
  std::int32_t generation_ = 0;  ///< how often forget_state() dropped a log
  base::Millis heard_leader_at_ = 0;
  base::Millis election_due_ = 0;
  base::Millis transfer_until_ = 0;
  bool campaign_is_trial_ = false;
  bool campaign_is_transfer_ = false;
  std::map<std::int64_t, bool> votes_;
  std::map<std::int64_t, Peer> peers_;
  std::map<std::int64_t, wire::Member> learners_;
  std::vector<AppliedRecord> applied_;
};

}  // namespace sailgate::replication
