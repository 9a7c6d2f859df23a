#include "ledger/escrow_claims.hpp"

#include <algorithm>
#include <utility>

#include "wire/codec.hpp"

namespace sailgate::ledger {

namespace {

using store::StoreStatus;

constexpr const char* kEscrowTable = "escrow";
/// All rows are in one partition: one read returns them all, and they are seldom written.
constexpr const char* kEscrowPart = "escrow";
/// Interval at which a node checks for shards without an owner; it reads the store only if there
/// are any.
constexpr net::Millis kClaimInterval{250};
/// A node that has just started first waits for several rounds of beacons, to learn which other
/// nodes exist.
constexpr net::Millis kStartupDelay{1500};
/// Timeout of one store call; a failed call is retried in the next round.
constexpr net::Millis kStoreTimeout{700};
/// Short enough for several attempts within the time that a shutdown allows for the handover.
constexpr net::Millis kHandOverRetryDelay{50};
/// Rows per transaction; the store accepts at most 100.
constexpr std::size_t kMaxRowsPerTransaction = 50;
/// Interval at which spending records of ended programs are removed.
constexpr net::Millis kEvictionInterval{std::chrono::seconds(10)};
/// Maximum number of programs whose spending is listed in a shard's row: 12 bytes each, and a row
/// holds 64 KiB.
constexpr std::size_t kMaxSpentEntries = 4000;

std::string shard_key(int shard) { return std::to_string(shard); }

store::RowId shard_row(int shard) { return {kEscrowTable, kEscrowPart, shard_key(shard)}; }

}  // namespace

void EscrowClaims::enable(EscrowPeers peers) { peers_ = std::move(peers); }

bool EscrowClaims::spendable(const Claim& claim) const {
  return claim.row.spendable && net::Clock::now() < claim.written_at + kClaimLifetime;
}

std::vector<std::int16_t> EscrowClaims::shards(bool wanted) const {
  std::vector<std::int16_t> listed;
  for (const auto& [shard, claim] : claims_) {
    if (spendable(claim) == wanted) listed.push_back(static_cast<std::int16_t>(shard));
  }
  return listed;
}

bool EscrowClaims::owns(const std::string& program) const {
  return claims_.count(escrow_shard_of(program)) > 0;
}

bool EscrowClaims::may_spend(const std::string& program) const {
  const auto claim = claims_.find(escrow_shard_of(program));
  return claim != claims_.end() && spendable(claim->second);
}

BudgetDivision EscrowClaims::division(const std::string& program, std::int64_t budget,
                                      std::int64_t turn_tokens) const {
  if (!enabled()) return {0, budget};
  if (!may_spend(program)) return non_owner_division(budget, turn_tokens);
  auto division = owner_division(budget, turn_tokens);
  division.escrow = std::max<std::int64_t>(division.escrow - previously_spent(program), 0);
  return division;
}

std::int64_t EscrowClaims::previously_spent(const std::string& program) const {
  const auto digest = escrow_digest(program);
  std::int64_t tokens = 0;
  const auto own = spent_.find(digest);
  if (own != spent_.end()) tokens += own->second.tokens;
  const auto claim = claims_.find(escrow_shard_of(program));
  if (claim == claims_.end()) return tokens;
  const auto earlier = claim->second.row.spent.find(digest);
  if (earlier != claim->second.row.spent.end()) tokens += earlier->second;
  return tokens;
}

void EscrowClaims::record_spent(const std::string& program, std::int64_t spent) {
  if (!enabled() || spent <= 0) return;
  auto& entry = spent_[escrow_digest(program)];
  entry.tokens += spent;
  entry.last_used = net::Clock::now();
}

void EscrowClaims::evict_ended(net::TimePoint now) {
  if (now < next_eviction_) return;
  next_eviction_ = now + kEvictionInterval;
  for (auto entry = spent_.begin(); entry != spent_.end();) {
    const bool ended = now >= entry->second.last_used + kMaxProgramLifetime;
    entry = ended ? spent_.erase(entry) : std::next(entry);
  }
}

net::asio::awaitable<void> EscrowClaims::run() {
  co_await net::sleep_for(context_, kStartupDelay);
  while (!stopping_) {
    co_await claim_and_renew();
    co_await net::sleep_for(context_, kClaimInterval);
  }
}

net::asio::awaitable<void> EscrowClaims::claim_and_renew() {
  co_await claim_unowned();
  co_await renew();
  evict_ended(net::Clock::now());
}

std::vector<EscrowClaims::Write> EscrowClaims::plan_claims(const std::vector<int>& wanted,
                                                           const std::vector<store::Row>& rows,
                                                           std::int64_t now_ms) const {
  std::map<std::string, const store::Row*> by_key;
  for (const auto& row : rows) by_key[row.id.key] = &row;
  std::vector<Write> writes;
  for (const auto shard : wanted) {
    Write write;
    write.shard = shard;
    const auto found = by_key.find(shard_key(shard));
    if (found == by_key.end()) {
      write.row = plan_claim(nullptr, holder_, now_ms);
      writes.push_back(std::move(write));
      continue;
    }
    const auto current = wire::decode<wire::EscrowRow>(found->second->value);
    // NOTE: a live owner that has not been heard announcing the shard has only just claimed it.
    if (current.owner != 0 && current.owner != holder_ && peers_->is_alive(current.owner)) continue;
    write.row = plan_claim(&current, holder_, now_ms);
    write.version = found->second->version;
    writes.push_back(std::move(write));
  }
  return writes;
}

net::asio::awaitable<void> EscrowClaims::claim_unowned() {
  const auto wanted = peers_->unowned();
  if (wanted.empty()) co_return;
  store::RangeRead range;
  range.table = kEscrowTable;
  range.part = kEscrowPart;
  const auto read = co_await store_.read(std::move(range), kStoreTimeout);
  const auto now_ms = clock_.now(net::Clock::now());
  if (read.status != StoreStatus::kDone || !now_ms || stopping_) co_return;
  auto writes = plan_claims(wanted, read.rows, *now_ms);
  co_await write(std::move(writes), kStoreTimeout);
}

net::asio::awaitable<void> EscrowClaims::renew() {
  const auto now = net::Clock::now();
  const auto now_ms = clock_.now(now);
  std::vector<Write> writes;
  for (const auto& [shard, claim] : claims_) {
    if (!now_ms || now < claim.written_at + kClaimRenewalInterval) continue;
    writes.push_back({shard, plan_claim(&claim.row, holder_, *now_ms), claim.version});
  }
  if (writes.empty()) co_return;
  const auto renewed = writes;
  const auto outcome = co_await write(std::move(writes), kStoreTimeout);
  if (outcome != WriteOutcome::kConflict) co_return;
  // Either a renewal whose response was lost took effect, or another node has claimed the shard.
  // The next claim reads the rows to find out.
  for (const auto& write : renewed) claims_.erase(write.shard);
}

net::asio::awaitable<EscrowClaims::WriteOutcome> EscrowClaims::write(std::vector<Write> writes,
                                                                     net::Millis timeout) {
  auto outcome = WriteOutcome::kDone;
  for (std::size_t first = 0; first < writes.size(); first += kMaxRowsPerTransaction) {
    const auto last = std::min(first + kMaxRowsPerTransaction, writes.size());
    const std::vector<Write> batch(writes.begin() + static_cast<std::ptrdiff_t>(first),
                                   writes.begin() + static_cast<std::ptrdiff_t>(last));
    outcome = std::max(outcome, co_await write_batch(batch, timeout));
  }
  co_return outcome;
}

net::asio::awaitable<EscrowClaims::WriteOutcome> EscrowClaims::write_batch(
    const std::vector<Write>& batch, net::Millis timeout) {
  store::Transaction transaction;
  for (const auto& write : batch) {
    const auto id = shard_row(write.shard);
    transaction.conditions.push_back({id, write.version});
    store::Row put;
    put.id = id;
    put.value = wire::encode(write.row);
    transaction.puts.push_back(std::move(put));
  }
  const auto sent_at = net::Clock::now();
  const auto result = co_await store_.transact(std::move(transaction), timeout);
  const bool done = result.status == StoreStatus::kDone;
  log_.event("escrow_written")
      .with("shards", batch.size())
      .with("first_shard", batch.front().shard)
      .with("owner", batch.front().row.owner)
      .with("spendable", static_cast<int>(batch.front().row.spendable))
      .with("status", static_cast<int>(result.status))
      .with("row_version", result.version);
  if (!done)
    co_return result.status == StoreStatus::kConflict ? WriteOutcome::kConflict
                                                      : WriteOutcome::kNoResponse;
  for (const auto& write : batch) {
    if (write.row.owner != holder_ || stopping_) continue;
    claims_[write.shard] = Claim{write.row, result.version, sent_at};
  }
  co_return WriteOutcome::kDone;
}

std::vector<EscrowClaims::Write> EscrowClaims::plan_handovers(const std::map<int, Claim>& claims,
                                                              std::int64_t now_ms) const {
  std::map<int, std::map<std::int64_t, std::int64_t>> spent_by_shard;
  for (const auto& [digest, spent] : spent_) {
    spent_by_shard[escrow_shard_of(digest)][digest] = spent.tokens;
  }
  std::vector<Write> writes;
  for (const auto& [shard, claim] : claims) {
    auto& spent = spent_by_shard[shard];
    for (auto& [digest, tokens] : spent) {
      const auto earlier = claim.row.spent.find(digest);
      if (earlier != claim.row.spent.end()) tokens += earlier->second;
    }
    auto row = plan_handover(claim.row, spent, now_ms);
    // A row that would be too large is not written: its whole escrow then counts as spent.
    if (row.spent.size() > kMaxSpentEntries) continue;
    writes.push_back({shard, std::move(row), claim.version});
  }
  return writes;
}

net::asio::awaitable<void> EscrowClaims::hand_over(std::map<std::string, std::int64_t> accounts,
                                                   net::TimePoint deadline) {
  // NOTE: the claims are dropped before anything is written, so that no more tokens are spent.
  stopping_ = true;
  const auto claims = std::exchange(claims_, {});
  for (const auto& [program, tokens] : accounts) record_spent(program, tokens);
  const auto now_ms = clock_.now(net::Clock::now());
  if (!enabled() || claims.empty() || !now_ms) co_return;
  const auto writes = plan_handovers(claims, *now_ms);
  auto outcome = WriteOutcome::kNoResponse;
  while (outcome == WriteOutcome::kNoResponse && net::Clock::now() < deadline) {
    outcome = co_await write(writes, kStoreTimeout);
    // A refusal returns immediately: without a delay, a stopping node would send requests as fast
    // as they are refused.
    if (outcome == WriteOutcome::kNoResponse)
      co_await net::sleep_for(context_, kHandOverRetryDelay);
  }
  log_.event("escrow_handed_over")
      .with("shards", writes.size())
      .with("done", static_cast<int>(outcome == WriteOutcome::kDone));
}

}  // namespace sailgate::ledger
