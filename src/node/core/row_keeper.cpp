#include "node/core/row_keeper.hpp"

#include <algorithm>

#include "wire/union_values.hpp"

namespace sailgate::node {
namespace {

/// A lone founder that this node never heard of counts as lost after this time.
constexpr base::Millis kStrangerPatience = 15'000;

bool same_members(const std::vector<wire::Member>& left, const std::vector<wire::Member>& right) {
  return std::is_permutation(
      left.begin(), left.end(), right.begin(), right.end(),
      [](const wire::Member& one, const wire::Member& other) { return one.id == other.id; });
}

}  // namespace

bool RowKeeper::may_ask(const Row& row, base::Millis now) const {
  const bool overdue = now - row.asked_at >= knobs_.table_timeout;
  return now >= row.next_request_at && (!row.waiting || overdue);
}

void RowKeeper::ask(std::int32_t slot, Row& row, base::Millis now, NodeActions& actions) const {
  row.waiting = true;
  row.asked_at = now;
  row.next_request_at = now + knobs_.row_write_interval;
  TableCommand command;
  command.slot = slot;
  actions.table.push_back(std::move(command));
}

void RowKeeper::write(std::int32_t slot, Row& row, wire::SlotRow value, base::Millis now,
                      NodeActions& actions) const {
  row.waiting = true;
  row.asked_at = now;
  row.next_request_at = now + knobs_.row_write_interval;
  row.pending_token = value.token;
  TableCommand command;
  command.slot = slot;
  command.write = true;
  command.expected_version = row.version;
  command.row = std::move(value);
  actions.table.push_back(std::move(command));
}

void RowKeeper::seek(std::int32_t slot, base::Millis now, NodeActions& actions) {
  auto& row = rows_[slot];
  if (may_ask(row, now)) ask(slot, row, now, actions);
}

void RowKeeper::record(SlotReplica& replica, base::Millis now, NodeActions& actions) {
  auto& group = replica.group();
  const auto& list = group.log().members();
  if (!group.may_serve(now) || !group.members_settled()) return;
  auto& row = rows_[replica.slot()];
  if (!may_ask(row, now)) return;
  const auto& possible = replica.state().possible_rows();
  const bool recorded = possible.size() == 1 && possible.front().view == group.view() &&
                        same_members(possible.front().members, list.members);
  if (recorded) return;
  if (!row.known || row.pending_token != 0) {
    // The version is not known, or the fate of the last write: the row itself tells.
    ask(replica.slot(), row, now, actions);
    return;
  }
  // The intention must be committed before the write may take effect.
  const bool intended = !possible.empty() && possible.back().view == group.view() &&
                        same_members(possible.back().members, list.members);
  if (!intended) {
    wire::SlotRow value;
    value.epoch = group.epoch();
    value.view = group.view();
    value.members_index = list.index;
    value.members = list.members;
    value.token = random_.identifier();
    wire::RowIntended intention;
    intention.row = std::move(value);
    auto entry = wire::as_entry(std::move(intention));
    replica.propose(entry);
    row.next_request_at = now + knobs_.heartbeat_interval;
    return;
  }
  write(replica.slot(), row, possible.back(), now, actions);
}

RowKeeper::Verdict RowKeeper::on_answer(const TableAnswer& answer, SlotReplica* replica,
                                        base::Millis now, NodeActions& actions) {
  auto& row = rows_[answer.slot];
  row.waiting = false;
  if (answer.status == TableStatus::kNoAnswer) return Verdict::kNothing;
  if (!answer.write) return on_read(answer, row, replica, now, actions);
  if (answer.status == TableStatus::kFound && answer.row.token == row.pending_token) {
    row.version = answer.version;
    row.row = answer.row;
    row.known = true;
    return on_own_write(row, replica);
  }
  // Somebody else wrote: read before the next step.
  row.known = false;
  row.next_request_at = now;
  return Verdict::kNothing;
}

RowKeeper::Verdict RowKeeper::on_read(const TableAnswer& answer, Row& row, SlotReplica* replica,
                                      base::Millis now, NodeActions& actions) {
  row.known = true;
  row.version = answer.version;
  row.row = answer.status == TableStatus::kFound ? answer.row : wire::SlotRow{};
  const bool own_write = row.pending_token != 0 && row.row.token == row.pending_token;
  if (own_write) return on_own_write(row, replica);
  row.pending_token = 0;
  const bool holds = replica != nullptr && replica->group().role() != replication::Role::kPassive;
  if (holds) {
    const bool fenced =
        answer.status == TableStatus::kFound && row.row.epoch > replica->group().epoch();
    return fenced ? Verdict::kFenced : Verdict::kNothing;
  }
  const auto& listed = row.row.members;
  // A founding write whose answer was lost may take effect after it was given up.
  if (listed.size() == 1 && listed.front().id == membership_.self().id) return Verdict::kFound;
  // A founder never heard of may only be late to join: it gets some more time.
  const bool heard_of = listed.size() == 1 && membership_.find(listed.front().id) != nullptr;
  if (!heard_of && row.first_seen_at == 0) row.first_seen_at = now;
  const bool patient = heard_of || now - row.first_seen_at >= kStrangerPatience;
  const bool lone_founder_lost =
      listed.size() == 1 && membership_.is_dead(listed.front().id) && patient;
  if (answer.status != TableStatus::kAbsent && !lone_founder_lost) return Verdict::kNothing;
  wire::SlotRow value;
  value.epoch = row.row.epoch + 1;
  value.members = {membership_.self()};
  value.token = random_.identifier();
  row.founding = true;
  write(answer.slot, row, std::move(value), now, actions);
  return Verdict::kNothing;
}

RowKeeper::Verdict RowKeeper::on_own_write(Row& row, SlotReplica* replica) {
  row.pending_token = 0;
  if (row.founding) {
    row.founding = false;
    return Verdict::kFound;
  }
  if (replica == nullptr || !replica->group().is_leader()) return Verdict::kNothing;
  wire::RowRecorded recorded;
  recorded.row = row.row;
  recorded.version = row.version;
  auto entry = wire::as_entry(std::move(recorded));
  replica->propose(entry);
  return Verdict::kNothing;
}

}  // namespace sailgate::node
