#include "ledger/budget_account.hpp"

#include <algorithm>
#include <set>

namespace sailgate::ledger {

namespace {

/// Beyond the requested tokens, a grant takes at most 1/4 of the remaining budget, because the
/// tokens of a holder that dies are lost.
constexpr std::int64_t kGrantDivisor = 4;
/// Holder ID for tokens spent by processes that have dropped the program from memory.
constexpr std::int64_t kRetiredHolder = 0;
/// A grant covers at most this many turns of the requested size.
constexpr std::int64_t kGrantTurns = 4;

}  // namespace

void BudgetAccount::set_escrow(std::int64_t tokens) {
  escrow_ = tokens;
  largest_escrow_ = std::max(largest_escrow_, tokens);
}

std::int64_t BudgetAccount::escrow_spent() const {
  return std::min(largest_escrow_, used_ + reserved_);
}

bool BudgetAccount::reserve(std::int64_t tokens) {
  if (available() < tokens) return false;
  reserved_ += tokens;
  return true;
}

void BudgetAccount::settle(std::int64_t reserved, std::int64_t used) {
  reserved_ -= std::min(reserved, reserved_);
  used_ += std::max<std::int64_t>(used, 0);
}

std::int64_t BudgetAccount::granted() const {
  std::int64_t sum = 0;
  for (const auto& share : shares_) sum += share.granted;
  return sum;
}

std::int64_t BudgetAccount::granted_to_other_holders(const Share& share) const {
  std::int64_t sum = 0;
  for (const auto& [holder, tokens] : share.row.granted) {
    if (holder != holder_) sum += tokens;
  }
  return sum;
}

std::int64_t BudgetAccount::unallocated(std::size_t share, std::int64_t budget) const {
  const auto count = static_cast<std::int64_t>(shares_.size());
  const auto index = static_cast<std::int64_t>(share);
  const std::int64_t share_size = budget * (index + 1) / count - budget * index / count;
  const auto& entry = shares_[share];
  return std::max<std::int64_t>(share_size - granted_to_other_holders(entry) - entry.granted, 0);
}

std::int64_t BudgetAccount::remaining(std::int64_t budget) const {
  std::int64_t sum = available();
  for (std::size_t share = 0; share < shares_.size(); ++share) sum += unallocated(share, budget);
  return sum;
}

bool BudgetAccount::can_hold(std::int64_t tokens, std::int64_t budget) const {
  return remaining(budget) >= tokens;
}

std::optional<wire::BudgetRow> BudgetAccount::plan_grant(std::size_t share, std::int64_t tokens,
                                                         std::int64_t budget) {
  auto& entry = shares_[share];
  if (!can_hold(tokens, budget)) return std::nullopt;
  const std::int64_t target = std::min(remaining(budget) / kGrantDivisor, tokens * kGrantTurns);
  const std::int64_t wanted = std::max(tokens, target) - available();
  const std::int64_t added = std::min(wanted, unallocated(share, budget));
  if (added <= 0) return std::nullopt;
  entry.attempted = true;
  auto row = entry.row;
  row.granted[holder_] = entry.granted + added;
  return row;
}

std::int64_t BudgetAccount::portion(std::size_t share, std::int64_t tokens) const {
  tokens -= escrow_;
  for (std::size_t earlier = 0; earlier < share; ++earlier) tokens -= shares_[earlier].granted;
  return std::clamp<std::int64_t>(tokens, 0, shares_[share].granted);
}

std::optional<wire::BudgetRow> BudgetAccount::begin_release(std::size_t share) {
  auto& entry = shares_[share];
  const auto listed = entry.row.granted.find(holder_);
  const std::int64_t kept = portion(share, used_ + reserved_);
  if (listed == entry.row.granted.end() || listed->second <= kept) return std::nullopt;
  entry.granted = kept;
  auto row = entry.row;
  row.granted[holder_] = kept;
  return row;
}

std::optional<wire::BudgetRow> BudgetAccount::begin_retirement(std::size_t share) {
  auto& entry = shares_[share];
  if (!idle() || entry.row.granted.count(holder_) == 0) return std::nullopt;
  // NOTE: unused tokens are withdrawn from all shares at once, so that no turn can start between
  // the writes of two shares.
  for (std::size_t other = 0; other < shares_.size(); ++other) {
    shares_[other].granted = portion(other, used_);
  }
  auto row = entry.row;
  row.granted.erase(holder_);
  row.granted[kRetiredHolder] += entry.granted;
  return row;
}

std::optional<wire::BudgetRow> BudgetAccount::current_row(std::size_t share) {
  const auto& row = shares_[share].row;
  if (row.granted.count(holder_) == 0) return std::nullopt;
  return row;
}

std::vector<std::int64_t> BudgetAccount::other_holders() const {
  std::set<std::int64_t> holders;
  for (const auto& share : shares_) {
    for (const auto& [holder, tokens] : share.row.granted) {
      if (holder != holder_ && holder != kRetiredHolder && tokens > 0) holders.insert(holder);
    }
  }
  return {holders.begin(), holders.end()};
}

void BudgetAccount::apply_stored_row(std::size_t share, wire::BudgetRow row, std::int64_t version) {
  auto& entry = shares_[share];
  if (version < entry.version) return;
  entry.uncertain = false;
  const bool same_version = version == entry.version;
  entry.row = std::move(row);
  entry.version = version;
  const auto listed = entry.row.granted.find(holder_);
  const std::int64_t granted = listed == entry.row.granted.end() ? 0 : listed->second;
  if (!entry.attempted) used_ += granted;
  entry.attempted = true;
  entry.granted = same_version ? std::min(entry.granted, granted) : granted;
}

void BudgetAccount::apply_missing_row(std::size_t share) {
  auto& entry = shares_[share];
  entry.uncertain = false;
  entry.row = {};
  entry.version = 0;
  entry.granted = 0;
}

}  // namespace sailgate::ledger
