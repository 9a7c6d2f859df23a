#include "replication/replicated_log.hpp"

#include <algorithm>

namespace sailgate::replication {
namespace {

/// Fixed cost counted for a record besides its texts.
constexpr std::size_t kRecordOverhead = 128;

std::size_t record_bytes(const wire::LogRecord& record) {
  const auto& entry = record.entry;
  std::size_t bytes = kRecordOverhead;
  if (entry.call_admitted) bytes += entry.call_admitted->request_body.size();
  if (entry.attempt_ended) bytes += entry.attempt_ended->result.size();
  return bytes;
}

}  // namespace

View ReplicatedLog::view_at(LogIndex index) const {
  if (index == base_index_) return base_view_;
  return contains(index) ? at(index).view : -1;
}

const wire::LogRecord& ReplicatedLog::at(LogIndex index) const {
  return records_.at(static_cast<std::size_t>(index - base_index_ - 1));
}

LogIndex ReplicatedLog::append(wire::LogRecord record) {
  const LogIndex index = last_index() + 1;
  bytes_ += record_bytes(record);
  if (record.entry.members_changed) {
    const auto& changed = *record.entry.members_changed;
    member_lists_.push_back({index, changed.members, changed.previous});
  }
  records_.push_back(std::move(record));
  return index;
}

void ReplicatedLog::truncate_from(LogIndex index) {
  while (last_index() >= index && !records_.empty()) {
    bytes_ -= record_bytes(records_.back());
    records_.pop_back();
  }
  while (member_lists_.size() > 1 && member_lists_.back().index >= index) {
    member_lists_.pop_back();
  }
}

void ReplicatedLog::discard_through(LogIndex index) {
  while (base_index_ < index && !records_.empty()) {
    base_view_ = records_.front().view;
    bytes_ -= record_bytes(records_.front());
    records_.pop_front();
    ++base_index_;
  }
  while (member_lists_.size() > 1 && member_lists_[1].index <= base_index_) {
    member_lists_.erase(member_lists_.begin());
  }
}

void ReplicatedLog::reset(LogIndex base_index, View base_view, const MemberList& members) {
  records_.clear();
  bytes_ = 0;
  base_index_ = base_index;
  base_view_ = base_view;
  member_lists_.assign(1, members);
}

const ReplicatedLog::MemberList& ReplicatedLog::members_at(LogIndex index) const {
  const auto found = std::find_if(member_lists_.rbegin(), member_lists_.rend(),
                                  [index](const MemberList& list) { return list.index <= index; });
  return found == member_lists_.rend() ? member_lists_.front() : *found;
}

}  // namespace sailgate::replication
