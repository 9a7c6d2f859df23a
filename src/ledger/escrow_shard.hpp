/// @file Escrow: the part of each program's budget that one node may spend from memory.
///
/// Programs fall into shards by a hash of their id. A row a shard names the process that owns it.
/// The owner may let the shard's programs generate tokens, up to their escrow, that no budget row
/// knows: it needs the store for neither the first turn of a program nor most later ones.
///
///  1. The escrow and what the budget rows may grant add up to the budget and one turn at most,
///     which is what a budget may be exceeded by. Nobody has to be asked to stay within it.
///  2. An owner claims a shard by a conditional write before it spends, and spends no longer than
///     kClaimLifetime after the last time it wrote.
///  3. An owner that stops writes what it spent, and the next one goes on from there.
///  4. An owner that is lost may have spent any escrow. Until every program that it can have served
///     has ended, the next owner has none, and its programs draw on their budget rows alone. These
///     grant a budget of up to two turns whole, and two turns at least of a larger one.
///
/// Deterministic, no I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "ledger_types.h"

namespace sailgate::ledger {

/// Shards of all programs: enough that 128 nodes share the work, few enough that one read brings
/// all rows (a read returns 500 at most).
inline constexpr int kEscrowShards = 128;
/// An owner that could not write for so long stops spending.
inline constexpr std::chrono::milliseconds kClaimLifetime = std::chrono::minutes(30);
/// An owner writes this often that it goes on: some tries may fail within kClaimLifetime.
inline constexpr std::chrono::milliseconds kClaimRenewalInterval = std::chrono::minutes(10);
/// No program lives this long: callers come back for a minute after a program's last turn.
inline constexpr std::chrono::milliseconds kMaxProgramLifetime = std::chrono::minutes(10);

/// Short name of a program in escrow rows.
std::int64_t escrow_digest(const std::string& program);
/// Shard of a program; the same on all nodes.
int escrow_shard_of(std::int64_t digest);
int escrow_shard_of(const std::string& program);

/// How one program's budget is divided.
struct BudgetDivision {
  std::int64_t escrow = 0;     ///< tokens that the shard's owner may spend without a row
  std::int64_t from_rows = 0;  ///< tokens that the budget rows may grant to all holders together
};

/// Division as the owner of a spendable escrow sees it: never more than the budget in all.
BudgetDivision owner_division(std::int64_t budget, std::int64_t turn_tokens);
/// Division as anybody else sees it.
BudgetDivision non_owner_division(std::int64_t budget, std::int64_t turn_tokens);

/// Row by which `claimant` becomes the owner of a shard.
/// @param row as it was read; nullptr: the shard never had an owner.
/// @param now_ms the store's clock.
wire::EscrowRow plan_claim(const wire::EscrowRow* row, std::int64_t claimant, std::int64_t now_ms);

/// Row by which an owner that stops hands on what it spent.
/// @param spent tokens that it and those before it spent, by the digest of the program.
wire::EscrowRow plan_handover(const wire::EscrowRow& row,
                              const std::map<std::int64_t, std::int64_t>& spent,
                              std::int64_t now_ms);

}  // namespace sailgate::ledger
