#include "node/core/node_core.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "base/digest.hpp"
#include "wire/union_values.hpp"

namespace sailgate::node {

std::int32_t slot_of(const std::string& program, std::int32_t slot_count) {
  const auto root = program.substr(0, program.find('.'));
  const auto digest = static_cast<std::uint64_t>(base::fast_digest(root));
  return static_cast<std::int32_t>(digest % static_cast<std::uint64_t>(slot_count));
}

NodeCore::NodeCore(Options options, base::Millis now)
    : options_(std::move(options)),
      random_(options_.seed),
      membership_(options_.self, options_.knobs, options_.seeds, random_.below(UINT64_MAX), now),
      rows_(options_.knobs, membership_, random_.below(UINT64_MAX)),
      repair_(options_.knobs, membership_),
      obligations_(options_.knobs, membership_),
      configuration_(options_.knobs, options_.policies.lease_rules, options_.self.id),
      started_at_(now) {
  for (const auto& backend : options_.backends) backends_.add(backend);
}

// ---------------------------------------------------------------- input

void NodeCore::on_envelope(const wire::Envelope& envelope, base::Millis now) {
  const bool for_other = envelope.receiver != 0 && envelope.receiver != options_.self.id;
  if (for_other || envelope.sender.id == options_.self.id) return;
  membership_.on_envelope(envelope, now);
  apply_rumors(envelope.rumors, now);
  for (const auto& message : envelope.groups) {
    if (message.slot < 0 || message.slot >= options_.knobs.slot_count) continue;
    auto& target = replica(message.slot, now);
    target.group().on_message(envelope.sender.id, message, now, outbox_);
    finish_slot_step(target, now);
  }
  finish_step();
}

void NodeCore::apply_rumors(const std::vector<wire::Rumor>& rumors, base::Millis now) {
  for (const auto& rumor : rumors) {
    if (rumor.__isset.backend) backends_.set_leaving(rumor.backend.backend, rumor.backend.leaving);
    if (!rumor.__isset.slot) continue;
    auto* held = find_replica(rumor.slot.slot);
    if (held == nullptr) continue;
    held->group().note_location(rumor.slot);
    held->settle(now, actions_);
  }
}

void NodeCore::on_tick(base::Millis now) {
  membership_.on_tick(now);
  tick_slots(now);
  if (const auto request = configuration_.poll(now)) {
    actions_.lease_requests.push_back({*request, now});
  }
  if (now >= next_seek_at_) {
    next_seek_at_ = now + options_.knobs.row_write_interval;
    seek_slots(now);
  }
  if (now >= next_scan_at_) {
    next_scan_at_ = now + options_.knobs.obligation_interval;
    scan_obligations(now);
  }
  finish_step();
}

void NodeCore::tick_slots(base::Millis now) {
  if (now >= next_count_at_) {
    next_count_at_ = now + options_.knobs.replica_count_interval;
    replica_counts_ = membership::count_replicas(membership_.table().slots());
  }
  std::set<std::int64_t> successors;
  if (stopping_) {
    for (const auto& member : membership_.usable_members()) successors.insert(member.id);
  }
  for (auto& [slot, held] : replicas_) {
    held->group().on_tick(now, outbox_);
    held->settle(now, actions_);
    if (!held->group().is_leader()) continue;
    publish_location(*held, now);
    rows_.record(*held, now, actions_);
    repair_.step(*held, replica_counts_, now);
    if (stopping_) held->group().transfer_leadership(successors, now, outbox_);
    finish_slot_step(*held, now);
  }
}

void NodeCore::submit(Ticket ticket, std::int32_t slot, const wire::ProgramRequest& request,
                      base::Millis now) {
  auto* held = find_replica(slot);
  if (held == nullptr) {
    actions_.completed.push_back({ticket, redirect_reply(leader_hint(slot))});
    return;
  }
  held->submit(ticket, request, now, actions_);
  finish_slot_step(*held, now);
  finish_step();
}

void NodeCore::on_table_answer(const TableAnswer& answer, base::Millis now) {
  auto* held = find_replica(answer.slot);
  const auto verdict = rows_.on_answer(answer, held, now, actions_);
  const bool newer = held == nullptr || answer.row.epoch > held->group().epoch();
  if (verdict == RowKeeper::Verdict::kFound && newer) {
    auto& founded = replica(answer.slot, now);
    founded.group().found(options_.self, answer.row.epoch, now);
    wire::RowRecorded recorded;
    recorded.row = answer.row;
    recorded.version = answer.version;
    auto entry = wire::as_entry(std::move(recorded));
    founded.propose(entry);
    finish_slot_step(founded, now);
    publish_location(founded, now);
  }
  if (verdict == RowKeeper::Verdict::kFenced && held != nullptr) {
    held->group().retire(answer.row.epoch);
    held->settle(now, actions_);
  }
  finish_step();
}

void NodeCore::on_configuration_lease(const wire::ConfigurationLease& lease,
                                      base::Millis asked_at) {
  configuration_.on_lease(lease, asked_at);
}

void NodeCore::on_evicted(const EvictionOrder& order, base::Millis now) {
  auto* held = find_replica(order.slot);
  if (held == nullptr) return;
  Obligations::on_evicted(*held, order);
  finish_slot_step(*held, now);
  finish_step();
}

void NodeCore::on_inquiry_answer(const InquiryAnswer& answer, base::Millis now) {
  auto* held = find_replica(answer.inquiry.slot);
  if (held == nullptr) return;
  Obligations::on_inquiry_answer(*held, answer);
  finish_slot_step(*held, now);
  finish_step();
}

void NodeCore::on_backend_leaving(const std::string& backend) {
  const auto* known = backends_.find(backend);
  if (known == nullptr || known->leaving) return;
  backends_.set_leaving(backend, true);
  const auto& rumors = membership_.table().backends();
  const auto previous = rumors.find(backend);
  wire::BackendRumor rumor;
  rumor.backend = backend;
  rumor.counter = previous == rumors.end() ? 1 : previous->second.counter + 1;
  rumor.leaving = true;
  membership_.publish(membership::as_rumor(rumor));
  finish_step();
}

void NodeCore::on_backend_load(const std::string& backend, std::int32_t load, base::Millis now) {
  backends_.set_reported_load(backend, load, now);
}

void NodeCore::begin_stop(base::Millis now) {
  if (stopping_) return;
  stopping_ = true;
  stopping_since_ = now;
  membership_.announce_leaving();
  finish_step();
}

bool NodeCore::released(base::Millis now) const {
  // A leader that has not heard of the stop yet may still be about to list this node.
  if (now - stopping_since_ < options_.knobs.suspicion_timeout) return false;
  return std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
    const auto& group = entry.second->group();
    return !group.is_member(options_.self.id) && !group.fed_lately(now);
  });
}

bool NodeCore::group_is_full(const SlotReplica& replica, base::Millis now) const {
  const auto& group = replica.group();
  const auto& members = group.log().members().members;
  const bool usable =
      std::all_of(members.begin(), members.end(),
                  [this](const wire::Member& member) { return membership_.is_usable(member.id); });
  return usable && members.size() == options_.knobs.replica_count && group.members_settled() &&
         replica.takes_programs(now);
}

bool NodeCore::successor_known() const {
  const auto usable = membership_.usable_members();
  return std::any_of(usable.begin(), usable.end(),
                     [this](const wire::Member& member) { return member.id != options_.self.id; });
}

// ---------------------------------------------------------------- slots

SlotReplica& NodeCore::replica(std::int32_t slot, base::Millis now) {
  auto& held = replicas_[slot];
  if (!held) {
    held = std::make_unique<SlotReplica>(
        SlotReplica::Context{slot, options_.self, options_.knobs, options_.policies, backends_,
                             random_.below(UINT64_MAX)},
        now);
  }
  return *held;
}

SlotReplica* NodeCore::find_replica(std::int32_t slot) {
  const auto found = replicas_.find(slot);
  return found == replicas_.end() ? nullptr : found->second.get();
}

/// Looks up slots that nobody is known to hold and that this node would found.
void NodeCore::seek_slots(base::Millis now) {
  if (stopping_ || now - started_at_ < options_.knobs.join_delay) return;
  const auto usable = membership_.usable_members();
  const auto& known = membership_.table().slots();
  for (std::int32_t slot = 0; slot < options_.knobs.slot_count; ++slot) {
    const auto location = known.find(slot);
    const bool lone_founder_lost = location != known.end() &&
                                   location->second.members.size() == 1 &&
                                   membership_.is_dead(location->second.members.front());
    if (location != known.end() && !lone_founder_lost) continue;
    const auto* held = find_replica(slot);
    if (held != nullptr && held->group().role() != replication::Role::kPassive) continue;
    const auto founder = membership::choose_founder(slot, usable);
    if (founder && founder->id == options_.self.id) rows_.seek(slot, now, actions_);
  }
}

void NodeCore::scan_obligations(base::Millis now) {
  for (auto& [slot, held] : replicas_) {
    if (!held->group().is_leader()) {
      obligations_.forget(slot);
      continue;
    }
    obligations_.scan(*held, now, actions_);
    finish_slot_step(*held, now);
  }
}

/// Makes a committed member list and its leader known to all nodes.
void NodeCore::publish_location(SlotReplica& replica, base::Millis now) {
  const auto& group = replica.group();
  const auto& list = group.log().members();
  if (!group.may_serve(now) || !group.members_settled()) return;
  const auto* known = membership_.table().find_slot(replica.slot());
  const bool same = known != nullptr && known->epoch == group.epoch() &&
                    known->view == group.view() && known->members_index == list.index;
  if (same) return;
  wire::SlotRumor rumor;
  rumor.slot = replica.slot();
  rumor.epoch = group.epoch();
  rumor.view = group.view();
  rumor.members_index = list.index;
  rumor.leader = options_.self.id;
  for (const auto& member : list.members) rumor.members.push_back(member.id);
  membership_.publish(membership::as_rumor(rumor));
}

std::int64_t NodeCore::leader_hint(std::int32_t slot) const {
  const auto found = replicas_.find(slot);
  if (found != replicas_.end() && found->second->group().role() != replication::Role::kPassive) {
    const auto leader = found->second->group().leader();
    if (leader != 0) return leader;
  }
  const auto* rumor = membership_.table().find_slot(slot);
  if (rumor == nullptr) return 0;
  if (membership_.is_live(rumor->leader)) return rumor->leader;
  for (const auto member : rumor->members) {
    if (member != options_.self.id && membership_.is_live(member)) return member;
  }
  return 0;
}

std::size_t NodeCore::led_slots() const {
  return static_cast<std::size_t>(
      std::count_if(replicas_.begin(), replicas_.end(),
                    [](const auto& entry) { return entry.second->group().is_leader(); }));
}

// ---------------------------------------------------------------- output

/// Sends what the slot's replica appended and replies to what it applied.
void NodeCore::finish_slot_step(SlotReplica& replica, base::Millis now) {
  replica.group().flush(now, outbox_);
  replica.settle(now, actions_);
}

void NodeCore::finish_step() {
  send_group_messages();
  auto outgoing = membership_.take_outgoing();
  std::move(outgoing.begin(), outgoing.end(), std::back_inserter(actions_.envelopes));
}

/// One envelope per peer. Rumors do not ride along: the same few peers would get each of them again
/// and again (docs/decisions/0006-rumors.md).
void NodeCore::send_group_messages() {
  for (auto& [receiver, messages] : outbox_) {
    const auto* member = membership_.find(receiver);
    if (member == nullptr) continue;
    wire::Envelope envelope;
    envelope.sender = options_.self;
    envelope.receiver = receiver;
    envelope.groups = std::move(messages);
    actions_.envelopes.push_back({{member->host, member->rpc_port}, std::move(envelope)});
  }
  outbox_.clear();
}

NodeActions NodeCore::take_actions() { return std::exchange(actions_, NodeActions{}); }

}  // namespace sailgate::node
