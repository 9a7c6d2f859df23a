/// @file This node's share of one program's token budget.
///
/// The budget is split into equal shares, each a row of its own in another part of the table store,
/// so that a program goes on while some part is out of service. A share's row lists how many tokens
/// each node process (holder) may let the program's turns generate. The sum never exceeds the
/// share, so a holder may spend its own tokens without asking anybody, also while the store is
/// down. A turn may draw on several shares.
///  1. A holder raises its entry before it uses more, and waits for the write.
///  2. It lowers its entry to give tokens back, and stops using them before it writes.
///  3. Entries of dead holders stay: their tokens count as spent.
///  4. A holder that forgets the program moves what it spent to an entry that belongs to nobody.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "ledger_types.h"

namespace sailgate::ledger {

/// Deterministic, no I/O, not thread-safe.
class BudgetAccount {
 public:
  /// @param holder identifies this process among all that ever ran.
  /// @param shares how many rows the budget is split into; the same for all holders.
  explicit BudgetAccount(std::int64_t holder, std::size_t shares = 1)
      : holder_(holder), shares_(shares) {}

  /// Tokens that this holder may use without any row, besides what is granted to it; see
  /// ledger/escrow_shard.hpp.
  void set_escrow(std::int64_t tokens);
  /// Most of the escrow that can have been used since this object began, reservations included.
  std::int64_t escrow_spent() const;
  /// Takes tokens from what is granted. @return false when there are too few.
  bool reserve(std::int64_t tokens);
  /// Ends a reservation; what was not used can be reserved again.
  void settle(std::int64_t reserved, std::int64_t used);
  std::int64_t available() const { return escrow_ + granted() - used_ - reserved_; }
  /// Tokens set aside for turns under way.
  std::int64_t reserved() const { return reserved_; }
  /// Tokens that ended turns generated, or that count as if they had.
  std::int64_t used() const { return used_; }
  bool idle() const { return reserved_ == 0; }
  std::size_t shares() const { return shares_.size(); }

  /// Row of one share that helps to make `tokens` available, with some for later turns when the
  /// budget is ample. nullopt when the rest of the whole budget is too small, as far as known, or
  /// when this share has nothing left.
  std::optional<wire::BudgetRow> plan_grant(std::size_t share, std::int64_t tokens,
                                            std::int64_t budget);
  /// Whether the rest of the budget can hold so many tokens, as far as known.
  bool can_hold(std::int64_t tokens, std::int64_t budget) const;
  /// Row of a share that gives back what is neither used nor reserved, and takes it out of use at
  /// once. nullopt when there is nothing to give.
  std::optional<wire::BudgetRow> begin_release(std::size_t share);
  /// Row of a share that gives back what is not used and counts what is used as spent by nobody in
  /// particular. When all shares have it so, this object can be dropped. Nothing can be reserved
  /// meanwhile. nullopt while a turn is under way, or when there is nothing to write.
  std::optional<wire::BudgetRow> begin_retirement(std::size_t share);
  /// Row of a share as it is known; nullopt when it has no entry of this holder.
  std::optional<wire::BudgetRow> current_row(std::size_t share);
  /// Holders, other than this one, that have tokens granted.
  std::vector<std::int64_t> other_holders() const;

  /// Takes a share's row as the store has it. An entry of this holder that this object did not
  /// write counts as spent. A row of the version already known does not raise the grant: a write
  /// whose answer was lost may still lower it.
  void apply_stored_row(std::size_t share, wire::BudgetRow row, std::int64_t version);
  /// A write of the share's row had no answer: the row may hold what this object does not know.
  void mark_uncertain(std::size_t share) { shares_[share].uncertain = true; }
  bool uncertain(std::size_t share) const { return shares_[share].uncertain; }
  /// The store has no row of the share: a later write must create it.
  void apply_missing_row(std::size_t share);
  std::int64_t version(std::size_t share) const { return shares_[share].version; }

 private:
  struct Share {
    std::int64_t granted = 0;  ///< to this holder
    bool attempted = false;    ///< this object wrote or read the row before
    bool uncertain = false;    ///< a write had no answer, and the row was not seen since
    wire::BudgetRow row;
    std::int64_t version = 0;
  };

  std::int64_t granted() const;
  std::int64_t granted_to_others(const Share& share) const;
  /// Tokens of the budget that this holder has or could be granted.
  std::int64_t left(std::int64_t budget) const;
  /// Tokens of a share that are granted to nobody.
  std::int64_t room(std::size_t share, std::int64_t budget) const;
  /// Part of `tokens` that falls on a share when the escrow and the shares' grants are filled in
  /// this order.
  std::int64_t portion(std::size_t share, std::int64_t tokens) const;

  std::int64_t holder_;
  std::int64_t used_ = 0;
  std::int64_t reserved_ = 0;
  std::int64_t escrow_ = 0;
  std::int64_t largest_escrow_ = 0;
  std::vector<Share> shares_;
};

}  // namespace sailgate::ledger
