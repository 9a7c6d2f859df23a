#include "replication/replica_group.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <set>
#include <utility>

#include "wire/union_values.hpp"

using namespace sailgate;
using namespace sailgate::replication;

namespace {

/// Counts what was applied; the snapshot is the count.
class Counter : public StateMachine {
 public:
  wire::ErrorKind::type apply(const wire::JournalEntry& entry) override {
    if (entry.tool_pause_reported) ++count;
    return wire::ErrorKind::kNone;
  }
  std::string snapshot() const override { return std::to_string(count); }
  void restore(const std::string& bytes) override { count = bytes.empty() ? 0 : std::stoi(bytes); }
  int count = 0;
};

wire::Member member(std::int64_t id) {
  wire::Member result;
  result.id = id;
  return result;
}

/// Replicas 1..n of one slot with hand-delivered messages.
class Replicas {
 public:
  explicit Replicas(std::int64_t count) {
    knobs.log_tail = 4;
    for (std::int64_t id = 1; id <= count; ++id) {
      machines[id] = std::make_unique<Counter>();
      groups[id] = std::make_unique<ReplicaGroup>(
          ReplicaGroup::Context{0, id, knobs, std::make_shared<ReplicationRules>(), *machines[id],
                                static_cast<std::uint64_t>(id)},
          now);
    }
  }

  void deliver_all() {
    for (int round = 0; round < 50; ++round) {
      std::deque<std::pair<std::int64_t, Outbox>> batch;
      batch.swap(in_flight);
      if (batch.empty()) return;
      for (auto& [sender, outbox] : batch) {
        for (auto& [receiver, messages] : outbox) {
          if (silent.count(receiver) > 0 || silent.count(sender) > 0) continue;
          Outbox replies;
          for (const auto& message : messages) {
            groups.at(receiver)->on_message(sender, message, now, replies);
          }
          groups.at(receiver)->flush(now, replies);
          in_flight.emplace_back(receiver, std::move(replies));
        }
      }
    }
  }

  void tick() {
    now += knobs.heartbeat_interval;
    for (auto& [id, group] : groups) {
      if (silent.count(id) > 0) continue;
      Outbox outbox;
      group->on_tick(now, outbox);
      in_flight.emplace_back(id, std::move(outbox));
    }
    deliver_all();
  }
  void ticks(int count) {
    for (int i = 0; i < count; ++i) tick();
  }

  /// Member 1 founds, the others join.
  void form() {
    auto& leader = *groups.at(1);
    leader.found(member(1), 1, now);
    for (const auto& [id, group] : groups) {
      if (id != 1) leader.add_learner(member(id), now);
    }
    ticks(3);
    std::vector<wire::Member> all;
    for (const auto& [id, group] : groups) all.push_back(member(id));
    REQUIRE(leader.propose_members(all));
    ticks(3);
    REQUIRE(leader.members_settled());
  }

  void propose(std::int64_t leader) {
    groups.at(leader)->propose(wire::as_entry(wire::ToolPauseReported{}));
    Outbox outbox;
    groups.at(leader)->flush(now, outbox);
    in_flight.emplace_back(leader, std::move(outbox));
    deliver_all();
  }

  std::int64_t leader() const {
    for (const auto& [id, group] : groups) {
      if (silent.count(id) == 0 && group->may_serve(now)) return id;
    }
    return 0;
  }

  base::Knobs knobs;
  base::Millis now = 1000;
  std::map<std::int64_t, std::unique_ptr<Counter>> machines;
  std::map<std::int64_t, std::unique_ptr<ReplicaGroup>> groups;
  std::set<std::int64_t> silent;
  std::deque<std::pair<std::int64_t, Outbox>> in_flight;
};

}  // namespace

TEST_CASE("entries reach every member", "[replication]") {
  Replicas replicas(3);
  replicas.form();
  for (int i = 0; i < 20; ++i) replicas.propose(1);
  replicas.ticks(2);
  for (const auto& [id, machine] : replicas.machines) REQUIRE(machine->count == 20);
}

TEST_CASE("a lost leader is replaced and nothing committed is lost", "[replication]") {
  Replicas replicas(3);
  replicas.form();
  replicas.propose(1);
  replicas.silent.insert(1);
  replicas.ticks(40);
  const auto leader = replicas.leader();
  REQUIRE(leader != 0);
  REQUIRE(replicas.machines.at(leader)->count == 1);
}

TEST_CASE("a leader that hears from nobody stops serving before another is elected",
          "[replication]") {
  Replicas replicas(3);
  replicas.form();
  replicas.silent = {2, 3};
  REQUIRE(replicas.groups.at(1)->may_serve(replicas.now));
  replicas.now += replicas.knobs.lease_duration;
  REQUIRE_FALSE(replicas.groups.at(1)->may_serve(replicas.now));
  REQUIRE(replicas.knobs.lease_duration < replicas.knobs.election_timeout);
}

TEST_CASE("a member that does not answer holds up commits only until it is suspected",
          "[replication]") {
  Replicas replicas(3);
  replicas.form();
  replicas.silent.insert(3);
  replicas.propose(1);
  REQUIRE(replicas.machines.at(1)->count == 0);
  replicas.ticks(8);
  REQUIRE(replicas.machines.at(1)->count == 1);
}

TEST_CASE("a lagging member catches up by snapshot", "[replication]") {
  Replicas replicas(3);
  replicas.form();
  replicas.silent.insert(3);
  replicas.ticks(8);
  for (int i = 0; i < 40; ++i) replicas.propose(1);
  replicas.silent.clear();
  replicas.ticks(5);
  REQUIRE(replicas.machines.at(3)->count == 40);
}

TEST_CASE("a member is replaced while it is lost, without needing the newcomer", "[replication]") {
  Replicas replicas(4);
  auto& leader = *replicas.groups.at(1);
  leader.found(member(1), 1, replicas.now);
  for (std::int64_t id = 2; id <= 3; ++id) leader.add_learner(member(id), replicas.now);
  replicas.ticks(3);
  REQUIRE(leader.propose_members({member(1), member(2), member(3)}));
  replicas.ticks(3);
  replicas.silent = {3};
  leader.add_learner(member(4), replicas.now);
  replicas.ticks(3);
  replicas.silent = {3, 4};
  REQUIRE(leader.propose_members({member(1), member(2), member(4)}));
  replicas.ticks(12);
  REQUIRE(leader.members_settled());
  REQUIRE_FALSE(leader.is_member(3));
}

TEST_CASE("a removed member that dropped its log does not vote", "[replication]") {
  Replicas replicas(4);
  replicas.form();
  auto& leader = *replicas.groups.at(1);
  REQUIRE(leader.propose_members({member(1), member(2), member(3)}));
  replicas.ticks(3);
  wire::SlotRumor location;
  location.epoch = 1;
  location.view = leader.view();
  location.members_index = leader.log().members().index;
  location.members = {1, 2, 3};
  replicas.groups.at(4)->note_location(location);
  REQUIRE(replicas.groups.at(4)->role() == Role::kPassive);

  wire::VoteRequest request;
  request.view = leader.view() + 5;
  wire::GroupMessage message;
  message.epoch = 1;
  message.body = wire::as_body(request);
  replicas.now += 10 * replicas.knobs.election_timeout;
  Outbox outbox;
  replicas.groups.at(4)->on_message(3, message, replicas.now, outbox);
  for (const auto& reply : outbox[3]) REQUIRE_FALSE(reply.body.vote_reply->granted);
}

TEST_CASE("messages of an older epoch are dropped, a newer one ends the group", "[replication]") {
  Replicas replicas(3);
  replicas.form();
  wire::AppendRequest request;
  request.view = 99;
  wire::GroupMessage message;
  message.epoch = 0;
  message.body = wire::as_body(request);
  Outbox outbox;
  replicas.groups.at(1)->on_message(2, message, replicas.now, outbox);
  REQUIRE(replicas.groups.at(1)->is_leader());
  message.epoch = 2;
  replicas.groups.at(1)->on_message(2, message, replicas.now, outbox);
  REQUIRE_FALSE(replicas.groups.at(1)->is_leader());
  REQUIRE(replicas.machines.at(1)->count == 0);
}

TEST_CASE("a planned handover gives up the lease first", "[replication]") {
  Replicas replicas(3);
  replicas.form();
  Outbox outbox;
  REQUIRE(replicas.groups.at(1)->transfer_leadership({2}, replicas.now, outbox));
  REQUIRE_FALSE(replicas.groups.at(1)->may_serve(replicas.now));
  replicas.in_flight.emplace_back(1, std::move(outbox));
  replicas.deliver_all();
  replicas.ticks(2);
  REQUIRE(replicas.leader() == 2);
}

TEST_CASE("an answer from before a member was added again does not count", "[replication]") {
  Replicas replicas(4);
  auto& leader = *replicas.groups.at(1);
  leader.found(member(1), 1, replicas.now);
  leader.add_learner(member(4), replicas.now);
  replicas.ticks(2);
  leader.drop_learner(4);
  replicas.now += 100;
  leader.add_learner(member(4), replicas.now);
  wire::AppendReply stale;
  stale.view = leader.view();
  stale.accepted = true;
  stale.match_index = leader.log().last_index();
  stale.sent_at = replicas.now - 50;
  wire::GroupMessage message;
  message.epoch = 1;
  message.body = wire::as_body(stale);
  Outbox outbox;
  leader.on_message(4, message, replicas.now, outbox);
  REQUIRE(leader.caught_up_learners().empty());
}

TEST_CASE("a new leader does not wait for its silent predecessor", "[replication]") {
  Replicas replicas(3);
  replicas.form();
  replicas.silent.insert(1);
  const auto elected = [&replicas] {
    return replicas.groups.at(2)->is_leader() || replicas.groups.at(3)->is_leader();
  };
  while (!elected() && replicas.now < 60'000) replicas.tick();
  REQUIRE(elected());
  replicas.ticks(2);
  REQUIRE(replicas.leader() != 0);
}
