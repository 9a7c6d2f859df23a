/// @file Escrow: the part of a program's budget that one node may spend without accessing the
/// store.
///
/// Programs are assigned to shards by a hash of their ID. Each shard has a row that names the
/// process that owns it. The owner may spend the escrow of the shard's programs without recording
/// it in a budget row, so it needs the store neither for the first turn of a program nor for most
/// later ones.
///
///  1. The escrow and the tokens that the budget rows may grant add up to at most the budget and
///     one turn, which is the permitted overrun. No coordination is needed to stay within it.
///  2. An owner claims a shard by a conditional write before it spends, and stops spending
///     kClaimLifetime after its last successful write.
///  3. An owner that shuts down writes what it spent, and the next owner continues from there.
///  4. An owner that is lost may have spent all of the escrow. Until every program that it can have
///     served has ended, the next owner has no escrow, and the programs draw on their budget rows
///     alone. The rows grant a budget of up to two turns in full, and at least two turns of a
///     larger one.
///
/// Deterministic, performs no I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "ledger_types.h"

namespace sailgate::ledger {

/// Number of shards: enough to distribute the work over 128 nodes, and few enough that one read
/// returns all rows (a read returns at most 500).
inline constexpr int kEscrowShards = 128;
/// An owner that has not been able to write for this long stops spending.
inline constexpr std::chrono::milliseconds kClaimLifetime = std::chrono::minutes(30);
/// Interval at which an owner renews its claim; several attempts may fail within kClaimLifetime.
inline constexpr std::chrono::milliseconds kClaimRenewalInterval = std::chrono::minutes(10);
/// Upper bound of a program's lifetime: callers return for at most one minute after a program's
/// last turn.
inline constexpr std::chrono::milliseconds kMaxProgramLifetime = std::chrono::minutes(10);

/// Hash that identifies a program in escrow rows.
std::int64_t escrow_digest(const std::string& program);
/// Shard of a program; the same on all nodes.
int escrow_shard_of(std::int64_t digest);
int escrow_shard_of(const std::string& program);

/// Division of one program's budget.
struct BudgetDivision {
  std::int64_t escrow = 0;     ///< tokens that the shard's owner may spend without a budget row
  std::int64_t from_rows = 0;  ///< tokens that the budget rows may grant to all holders in total
};

/// Division from the view of an owner whose escrow may be spent; the sum never exceeds the budget.
BudgetDivision owner_division(std::int64_t budget, std::int64_t turn_tokens);
/// Division from the view of any other process.
BudgetDivision non_owner_division(std::int64_t budget, std::int64_t turn_tokens);

/// Returns the row that makes `claimant` the owner of a shard.
/// @param row the stored row; nullptr if the shard never had an owner.
/// @param now_ms time of the store's clock.
wire::EscrowRow plan_claim(const wire::EscrowRow* row, std::int64_t claimant, std::int64_t now_ms);

/// Returns the row by which an owner that shuts down releases a shard and records what was spent.
/// @param spent tokens spent by this owner and earlier ones, by program digest.
wire::EscrowRow plan_handover(const wire::EscrowRow& row,
                              const std::map<std::int64_t, std::int64_t>& spent,
                              std::int64_t now_ms);

}  // namespace sailgate::ledger
