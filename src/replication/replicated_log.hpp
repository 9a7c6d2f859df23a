/// @file In-memory log of one replica, with the member lists it carries.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "sailgate_types.h"

namespace sailgate::replication {

/// Index of a log record; the first record has index 1.
using LogIndex = std::int64_t;
/// Number of a leadership period; at most one leader per view of an epoch.
using View = std::int64_t;
/// Number of a group's founding or recovery; granted by the table service.
using Epoch = std::int64_t;

/// Records behind a base position. Everything up to the base is contained in the state machine.
class ReplicatedLog {
 public:
  /// Member list in force from the record at `index` on.
  struct MemberList {
    LogIndex index = 0;
    std::vector<wire::Member> members;
    std::vector<wire::Member> previous;  ///< in force as well while a change is under way

    bool joint() const { return !previous.empty(); }
  };

  LogIndex base_index() const { return base_index_; }
  LogIndex last_index() const { return base_index_ + static_cast<LogIndex>(records_.size()); }
  View last_view() const { return view_at(last_index()); }
  bool contains(LogIndex index) const { return index > base_index_ && index <= last_index(); }

  /// @return the view of the record at `index`, of the base, or -1 when neither.
  View view_at(LogIndex index) const;
  /// @pre contains(index)
  const wire::LogRecord& at(LogIndex index) const;

  /// Appends a record; a member list it carries is in force at once. @return its index.
  LogIndex append(wire::LogRecord record);
  /// Drops the records from `index` on, and the member lists among them.
  void truncate_from(LogIndex index);
  /// Drops records up to `index`, which must be applied.
  void discard_through(LogIndex index);
  /// Forgets everything and starts behind the given position.
  void reset(LogIndex base_index, View base_view, const MemberList& members);

  /// Newest member list, committed or not.
  const MemberList& members() const { return member_lists_.back(); }
  /// Newest member list at or before `index`.
  const MemberList& members_at(LogIndex index) const;

  /// Approximate bytes held by records.
  std::size_t bytes() const { return bytes_; }

 private:
  LogIndex base_index_ = 0;
  View base_view_ = 0;
  std::size_t bytes_ = 0;
  std::deque<wire::LogRecord> records_;
  std::vector<MemberList> member_lists_{MemberList{}};
};

}  // namespace sailgate::replication
