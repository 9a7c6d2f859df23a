#include "ledger/escrow_shard.hpp"

#include <xxhash.h>

#include <algorithm>

namespace sailgate::ledger {

namespace {

/// Keeps the digest of a program independent of its parts in the store.
constexpr std::uint64_t kDigestSeed = 0x657363726f77;

/// An owner may spend one turn and this part of the rest of the budget without the rows: a larger
/// part carries programs further through an outage, a smaller one leaves them more when their owner
/// is lost.
constexpr std::int64_t kEscrowDivisor = 3;

/// Grows with the turn, but by no more than the turn does: whoever follows a lost owner may be
/// asked for another turn than that one, and still assumes no less than it can have spent beyond a
/// turn. Half of the budget at most, or one turn, so that two turns are left for whoever follows.
std::int64_t escrow_of(std::int64_t budget, std::int64_t turn_tokens) {
  const std::int64_t beyond = std::max<std::int64_t>(budget - turn_tokens, 0);
  const std::int64_t most = std::max(turn_tokens, budget / 2);
  return std::min({budget, turn_tokens + beyond / kEscrowDivisor, most});
}

bool may_forget_spent(const wire::EscrowRow& row, std::int64_t now_ms) {
  return now_ms >= row.spent_until;
}

}  // namespace

std::int64_t escrow_digest(const std::string& program) {
  return static_cast<std::int64_t>(XXH64(program.data(), program.size(), kDigestSeed));
}

int escrow_shard_of(std::int64_t digest) {
  return static_cast<int>(static_cast<std::uint64_t>(digest) % kEscrowShards);
}

int escrow_shard_of(const std::string& program) { return escrow_shard_of(escrow_digest(program)); }

BudgetDivision owner_division(std::int64_t budget, std::int64_t turn_tokens) {
  const auto escrow = escrow_of(budget, turn_tokens);
  return {escrow, budget - escrow};
}

BudgetDivision non_owner_division(std::int64_t budget, std::int64_t turn_tokens) {
  const auto unseen = escrow_of(budget, turn_tokens);
  return {0, std::min(budget, budget + turn_tokens - unseen)};
}

wire::EscrowRow plan_claim(const wire::EscrowRow* row, std::int64_t claimant, std::int64_t now_ms) {
  wire::EscrowRow claimed;
  if (row != nullptr) claimed = *row;
  const bool lost_owner = row != nullptr && row->owner != 0 && row->owner != claimant;
  if (row == nullptr) claimed.spendable = true;
  if (lost_owner && row->spendable) {
    // The lost owner may be alive, and spends until its claim runs out.
    const auto last_spent = std::max(now_ms, row->claimed_at + kClaimLifetime.count());
    claimed.spendable = false;
    claimed.spendable_from = last_spent + kMaxProgramLifetime.count();
  }
  if (!claimed.spendable && now_ms >= claimed.spendable_from) {
    claimed.spendable = true;
    claimed.spent.clear();
  }
  if (may_forget_spent(claimed, now_ms)) claimed.spent.clear();
  claimed.owner = claimant;
  claimed.claimed_at = now_ms;
  return claimed;
}

wire::EscrowRow plan_handover(const wire::EscrowRow& row,
                              const std::map<std::int64_t, std::int64_t>& spent,
                              std::int64_t now_ms) {
  wire::EscrowRow handed_over = row;
  if (may_forget_spent(row, now_ms)) handed_over.spent.clear();
  for (const auto& [program, tokens] : spent) handed_over.spent[program] = tokens;
  handed_over.owner = 0;
  handed_over.claimed_at = now_ms;
  handed_over.spent_until = now_ms + kMaxProgramLifetime.count();
  return handed_over;
}

}  // namespace sailgate::ledger
