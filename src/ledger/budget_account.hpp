/// @file This node's share of one program's token budget.
///
/// The row in the table store lists how many tokens each node process (holder) may let the
/// program's turns generate. The sum never exceeds the budget, so a holder may spend its own tokens
/// without asking anybody, also while the store is down.
///  1. A holder raises its entry before it uses more, and waits for the write.
///  2. It lowers its entry to give tokens back, and stops using them before it writes.
///  3. Entries of dead holders stay: their tokens count as spent.
///  4. A holder that forgets the program moves what it spent to an entry that belongs to nobody.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "ledger_types.h"

namespace sailgate::ledger {

/// Deterministic, no I/O, not thread-safe.
class BudgetAccount {
 public:
  /// @param holder identifies this process among all that ever ran.
  explicit BudgetAccount(std::int64_t holder) : holder_(holder) {}

  /// Takes tokens from what is granted. @return false when there are too few.
  bool reserve(std::int64_t tokens);
  /// Ends a reservation; what was not used can be reserved again.
  void settle(std::int64_t reserved, std::int64_t used);
  std::int64_t available() const { return granted_ - used_ - reserved_; }
  bool idle() const { return reserved_ == 0; }

  /// Row that makes at least `tokens` available, with some for later turns when the budget is
  /// ample. nullopt when the rest of the budget is too small.
  std::optional<wire::BudgetRow> plan_grant(std::int64_t tokens, std::int64_t budget);
  /// Row that gives back what is neither used nor reserved, and takes it out of use at once.
  /// nullopt when there is nothing to give.
  std::optional<wire::BudgetRow> begin_release();
  /// Row that gives back what is not used and counts what is used as spent by nobody in particular,
  /// so that this object can be dropped once that is stored. Nothing can be reserved meanwhile.
  /// nullopt while a turn is under way, or when there is nothing to write.
  std::optional<wire::BudgetRow> begin_retirement();
  /// Holders, other than this one, that have tokens granted.
  std::vector<std::int64_t> other_holders() const;

  /// Takes the row as the store has it. An entry of this holder that this object did not write
  /// counts as spent. A row of the version already known does not raise the
  /// grant: a write whose answer was lost may still lower it.
  void adopt(wire::BudgetRow row, std::int64_t version);
  /// The store has no row: a later write must create it.
  void adopt_absent();
  std::int64_t version() const { return version_; }

 private:
  std::int64_t granted_to_others() const;

  std::int64_t holder_;
  std::int64_t granted_ = 0;
  std::int64_t used_ = 0;
  std::int64_t reserved_ = 0;
  bool attempted_ = false;  ///< this object wrote or read the row before
  wire::BudgetRow row_;
  std::int64_t version_ = 0;
};

}  // namespace sailgate::ledger
