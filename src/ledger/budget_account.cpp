#include "ledger/budget_account.hpp"

#include <algorithm>

namespace sailgate::ledger {

namespace {

/// A grant takes up to this share of what is left: tokens of a holder that dies are lost.
constexpr std::int64_t kGrantDivisor = 2;
/// Holder of tokens that were spent by processes that have forgotten the program.
constexpr std::int64_t kNobody = 0;
/// A grant covers at most this many turns like the one that asked.
constexpr std::int64_t kGrantTurns = 8;

}  // namespace

bool BudgetAccount::reserve(std::int64_t tokens) {
  if (available() < tokens) return false;
  reserved_ += tokens;
  return true;
}

void BudgetAccount::settle(std::int64_t reserved, std::int64_t used) {
  reserved_ -= std::min(reserved, reserved_);
  used_ += std::max<std::int64_t>(used, 0);
}

std::int64_t BudgetAccount::granted_to_others() const {
  std::int64_t sum = 0;
  for (const auto& [holder, tokens] : row_.granted) {
    if (holder != holder_) sum += tokens;
  }
  return sum;
}

std::optional<wire::BudgetRow> BudgetAccount::plan_grant(std::int64_t tokens, std::int64_t budget) {
  attempted_ = true;
  const std::int64_t left = budget - granted_to_others() - used_ - reserved_;
  if (left < tokens) return std::nullopt;
  const std::int64_t ample = std::min(left / kGrantDivisor, tokens * kGrantTurns);
  const std::int64_t grant = used_ + reserved_ + std::max(tokens, ample);
  auto row = row_;
  row.granted[holder_] = std::max(grant, granted_);
  return row;
}

std::optional<wire::BudgetRow> BudgetAccount::begin_release() {
  const auto entry = row_.granted.find(holder_);
  const std::int64_t kept = used_ + reserved_;
  if (entry == row_.granted.end() || entry->second <= kept) return std::nullopt;
  granted_ = kept;
  auto row = row_;
  row.granted[holder_] = kept;
  return row;
}

std::optional<wire::BudgetRow> BudgetAccount::begin_retirement() {
  if (!idle() || row_.granted.count(holder_) == 0) return std::nullopt;
  granted_ = used_;
  auto row = row_;
  row.granted.erase(holder_);
  row.granted[kNobody] += used_;
  return row;
}

std::vector<std::int64_t> BudgetAccount::other_holders() const {
  std::vector<std::int64_t> holders;
  for (const auto& [holder, tokens] : row_.granted) {
    if (holder != holder_ && holder != kNobody && tokens > 0) holders.push_back(holder);
  }
  return holders;
}

void BudgetAccount::adopt(wire::BudgetRow row, std::int64_t version) {
  if (version < version_) return;
  const bool same_version = version == version_;
  row_ = std::move(row);
  version_ = version;
  const auto entry = row_.granted.find(holder_);
  const std::int64_t granted = entry == row_.granted.end() ? 0 : entry->second;
  if (!attempted_) used_ = std::max(used_, granted);
  attempted_ = true;
  granted_ = same_version ? std::min(granted_, granted) : granted;
}

void BudgetAccount::adopt_absent() {
  row_ = {};
  version_ = 0;
  granted_ = 0;
}

}  // namespace sailgate::ledger
