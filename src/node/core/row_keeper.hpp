/// @file Slots and the table service: founding them, recording who holds them.
///
/// The table service arbitrates first starts; it is not on the path of calls.
///  1. A slot nobody is known to hold is looked up in the table by the node that rendezvous
///     hashing names. Only where the row is absent does that node create it, by compare-and-set,
///     and found the group. A row that lists a lone founder believed dead is taken over with the
///     next epoch: no program is opened before a second member is listed. While the table does not
///     answer, nothing is founded.
///  2. The leader records each new member list: it journals the intention, writes by
///  compare-and-set,
///     and journals the result. A write without an answer is read back and told by its token.
///  3. A leader that finds a row with a higher epoch has been replaced by a recovery; it stops.
#pragma once

#include <map>
#include <set>

#include "base/knobs.hpp"
#include "base/random.hpp"
#include "membership/membership.hpp"
#include "node/core/node_actions.hpp"
#include "node/core/slot_replica.hpp"

namespace sailgate::node {

/// Row handling of one node. Not thread-safe.
class RowKeeper {
 public:
  RowKeeper(const base::Knobs& knobs, const membership::Membership& membership, std::uint64_t seed)
      : knobs_(knobs), membership_(membership), random_(seed) {}

  /// Looks a slot up that nobody is known to hold; call when this node is to found it.
  void seek(std::int32_t slot, base::Millis now, NodeActions& actions);
  /// Records the member list of a led slot when the row may lack it.
  void record(SlotReplica& replica, base::Millis now, NodeActions& actions);

  /// What the node must do after an answer.
  enum class Verdict {
    kNothing,
    kFound,   ///< this node holds the row: found the group with the row's epoch
    kFenced,  ///< a recovery holds the slot: drop the replica
  };
  Verdict on_answer(const TableAnswer& answer, SlotReplica* replica, base::Millis now,
                    NodeActions& actions);

 private:
  /// Last known state of a slot's row and the request under way.
  struct Row {
    bool known = false;
    std::int64_t version = 0;
    wire::SlotRow row;
    base::Millis next_request_at = 0;
    bool waiting = false;
    base::Millis asked_at = 0;
    base::Millis first_seen_at = 0;  ///< when a founder unknown to this node was first read
    std::int64_t pending_token = 0;  ///< of a write without an answer yet
    bool founding = false;           ///< the pending write creates the row
  };

  bool may_ask(const Row& row, base::Millis now) const;
  void ask(std::int32_t slot, Row& row, base::Millis now, NodeActions& actions) const;
  void write(std::int32_t slot, Row& row, wire::SlotRow value, base::Millis now,
             NodeActions& actions) const;
  Verdict on_read(const TableAnswer& answer, Row& row, SlotReplica* replica, base::Millis now,
                  NodeActions& actions);
  Verdict on_own_write(Row& row, SlotReplica* replica);

  const base::Knobs& knobs_;
  const membership::Membership& membership_;
  base::Random random_;
  std::map<std::int32_t, Row> rows_;
};

}  // namespace sailgate::node
