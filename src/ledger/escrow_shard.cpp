#include "ledger/escrow_shard.hpp"

#include <xxhash.h>

#include <algorithm>

namespace sailgate::ledger {

namespace {

/// Makes the digest of a program independent of its choice of store partitions.
constexpr std::uint64_t kDigestSeed = 0x657363726f77;

/// An owner may spend one turn and this fraction of the rest of the budget without the budget rows.
/// A larger fraction lets programs continue longer during an outage of the store; a smaller one
/// leaves more tokens when their owner is lost.
constexpr std::int64_t kEscrowDivisor = 3;

/// Returns the escrow for a turn size. It grows with the turn, but by no more than the turn does:
/// the successor of a lost owner may be asked for a turn of another size, and must still assume at
/// least as much spending beyond one turn as the lost owner could have done. The escrow is at most
/// half of the budget, or one turn, so that two turns are left for the successor.
std::int64_t escrow_of(std::int64_t budget, std::int64_t turn_tokens) {
  const std::int64_t excess = std::max<std::int64_t>(budget - turn_tokens, 0);
  const std::int64_t limit = std::max(turn_tokens, budget / 2);
  return std::min({budget, turn_tokens + excess / kEscrowDivisor, limit});
}

bool spent_expired(const wire::EscrowRow& row, std::int64_t now_ms) {
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
  const auto possible_escrow = escrow_of(budget, turn_tokens);
  return {0, std::min(budget, budget + turn_tokens - possible_escrow)};
}

wire::EscrowRow plan_claim(const wire::EscrowRow* row, std::int64_t claimant, std::int64_t now_ms) {
  wire::EscrowRow claimed;
  if (row != nullptr) claimed = *row;
  const bool lost_owner = row != nullptr && row->owner != 0 && row->owner != claimant;
  if (row == nullptr) claimed.spendable = true;
  if (lost_owner && row->spendable) {
    // The lost owner may still be alive, and may spend until its claim expires.
    const auto last_spend_ms = std::max(now_ms, row->claimed_at + kClaimLifetime.count());
    claimed.spendable = false;
    claimed.spendable_from = last_spend_ms + kMaxProgramLifetime.count();
  }
  if (!claimed.spendable && now_ms >= claimed.spendable_from) {
    claimed.spendable = true;
    claimed.spent.clear();
  }
  if (spent_expired(claimed, now_ms)) claimed.spent.clear();
  claimed.owner = claimant;
  claimed.claimed_at = now_ms;
  return claimed;
}

wire::EscrowRow plan_handover(const wire::EscrowRow& row,
                              const std::map<std::int64_t, std::int64_t>& spent,
                              std::int64_t now_ms) {
  wire::EscrowRow handed_over = row;
  if (spent_expired(row, now_ms)) handed_over.spent.clear();
  for (const auto& [program, tokens] : spent) handed_over.spent[program] = tokens;
  handed_over.owner = 0;
  handed_over.claimed_at = now_ms;
  handed_over.spent_until = now_ms + kMaxProgramLifetime.count();
  return handed_over;
}

}  // namespace sailgate::ledger
