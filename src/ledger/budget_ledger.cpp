#include "ledger/budget_ledger.hpp"

#include <algorithm>
#include <utility>

#include "ledger/expiry_index.hpp"
#include "store/row_parts.hpp"
#include "wire/codec.hpp"

namespace sailgate::ledger {

namespace {

using store::StoreResult;
using store::StoreStatus;

constexpr const char* kBudgetTable = "budgets";
/// Programs that have been idle for this long are evicted, a few at a time.
constexpr net::Millis kIdleTimeout{120'000};
constexpr net::Millis kEvictionInterval{1000};
constexpr net::Millis kEvictionTimeout{500};
constexpr std::size_t kMaxEvictionsPerRound = 16;
/// Budget rows that have not been written for this long belong to programs that have ended: no
/// program lasts longer than ten minutes (kMaxProgramLifetime), and holders write their rows at
/// least twice in this time. The rows and index entries of a program take about 200 bytes: by
/// calculation 32 MB in this time at 90 programs per second, and 130 MB if they were kept for two
/// hours.
constexpr net::Millis kBudgetRowTtl{std::chrono::minutes(30)};
/// Budget rows of programs in memory are rewritten at least this often.
constexpr net::Millis kBudgetRefreshInterval{std::chrono::minutes(10)};
/// After a budget was found to be exhausted and the other holders were asked, it is not checked
/// again for this long.
constexpr net::Millis kExhaustedCacheTtl{800};
/// Number of programs whose tokens are returned concurrently at a planned shutdown.
constexpr int kMaxConcurrentReleases = 8;
constexpr net::Millis kReleasePollInterval{10};
/// A partition of the store that has not responded for this long is assumed to be unavailable.
constexpr net::Millis kPartSilenceTimeout{100};

bool time_left(net::TimePoint deadline) { return net::Clock::now() < deadline; }

}  // namespace

BudgetLedger::BudgetLedger(net::asio::io_context& context, store::TableStore& store,
                           const store::StoreClock& clock, EscrowClaims& escrow,
                           observe::StructuredLog& log, std::int64_t holder)
    : context_(context),
      store_(context, store, static_cast<std::uint64_t>(holder)),
      random_(static_cast<std::uint64_t>(holder)),
      clock_(clock),
      escrow_(escrow),
      log_(log),
      holder_(holder) {}

BudgetLedger::ProgramPointer BudgetLedger::program(const std::string& id) {
  auto& entry = programs_[id];
  if (entry == nullptr) entry = std::make_shared<Program>(context_, holder_);
  entry->last_used = net::Clock::now();
  return entry;
}

net::asio::awaitable<ReserveOutcome> BudgetLedger::reserve(std::string id, std::int64_t tokens,
                                                           std::int64_t budget,
                                                           net::TimePoint deadline) {
  if (reserve_available(id, tokens, budget)) co_return ReserveOutcome::kReserved;
  if (recently_exhausted(id, tokens)) co_return ReserveOutcome::kExhausted;
  auto entry = program(id);
  const auto guard = co_await entry->mutex.lock();
  // Programs in an endless loop send many requests at once: the first one checks the budget for all
  // of them.
  if (recently_exhausted(id, tokens)) co_return ReserveOutcome::kExhausted;
  TokenRequest request{tokens, budget, net::Clock::now(), deadline};
  while (true) {
    request.from_rows = update_escrow(id, *entry, tokens, budget);
    if (entry->account.reserve(tokens)) co_return ReserveOutcome::kReserved;
    const auto outcome = co_await raise_grant(id, entry, request);
    if (outcome != ReserveOutcome::kReserved) co_return outcome;
  }
}

bool BudgetLedger::reserve_available(const std::string& id, std::int64_t tokens,
                                     std::int64_t budget) {
  auto entry = program(id);
  entry->turn_tokens = tokens;
  entry->budget = budget;
  update_escrow(id, *entry, tokens, budget);
  return entry->account.reserve(tokens);
}

void BudgetLedger::raise_ahead(const std::string& id) {
  const auto found = programs_.find(id);
  if (found == programs_.end() || found->second->raising_ahead || releasing_all_) return;
  auto& program = *found->second;
  const auto from_rows = update_escrow(id, program, program.turn_tokens, program.budget);
  if (program.account.available() >= program.turn_tokens) return;
  if (!program.account.can_hold(program.turn_tokens, from_rows)) return;
  program.raising_ahead = true;
  net::asio::co_spawn(context_, grant_ahead(id, found->second), net::asio::detached);
}

net::asio::awaitable<void> BudgetLedger::grant_ahead(std::string id, ProgramPointer program) {
  const auto guard = co_await program->mutex.lock();
  const auto now = net::Clock::now();
  // One attempt: a turn that needs the tokens before they are there requests them itself.
  TokenRequest request{program->turn_tokens, 0, now, now + store_.attempt_timeout()};
  request.from_rows = update_escrow(id, *program, request.tokens, program->budget);
  if (program->account.available() < request.tokens && !releasing_all_) {
    co_await raise_grant(id, program, request);
  }
  program->raising_ahead = false;
}

std::int64_t BudgetLedger::update_escrow(const std::string& id, Program& program,
                                         std::int64_t tokens, std::int64_t budget) {
  const auto division = escrow_.division(id, budget, tokens);
  program.account.set_escrow(division.escrow);
  return division.from_rows;
}

store::RowId BudgetLedger::budget_row(const std::string& program, std::size_t share) {
  return {kBudgetTable, store::candidate_partitions(program)[share], program};
}

std::vector<std::size_t> BudgetLedger::shares_by_health(const std::string& program) const {
  auto parts = store::candidate_partitions(program);
  parts.resize(kBudgetShares);
  // Holders start with different shares, which reduces write conflicts.
  auto rotated = parts;
  const auto first = static_cast<std::uint64_t>(holder_) % kBudgetShares;
  std::rotate(rotated.begin(), rotated.begin() + static_cast<std::ptrdiff_t>(first), rotated.end());
  const auto ordered = budget_parts_.order(std::move(rotated), net::Clock::now());
  std::vector<std::size_t> shares;
  for (const auto& part : ordered) {
    const auto found = std::find(parts.begin(), parts.end(), part);
    shares.push_back(static_cast<std::size_t>(found - parts.begin()));
  }
  return shares;
}

void BudgetLedger::log_exhausted(const std::string& id, const BudgetAccount& account,
                                 const TokenRequest& request) {
  auto line = log_.event("budget_exhausted");
  line.with("program", id)
      .with("tokens", request.tokens)
      .with("from_rows", request.from_rows)
      .with("available", account.available())
      .with("reserved", account.reserved())
      .with("used", account.used())
      .with("holders", account.other_holders().size());
  for (std::size_t share = 0; share < account.shares(); ++share) {
    line.with("row_version_" + std::to_string(share), account.version(share));
  }
}

net::asio::awaitable<ReserveOutcome> BudgetLedger::raise_grant(std::string id,
                                                               ProgramPointer program,
                                                               TokenRequest request) {
  bool fresh = false;  // all rows were read after this call began
  auto pace = store_.begin(request.deadline);
  while (pace.time_left()) {
    const auto written = co_await raise_grant_in_shares(id, program, request, pace);
    if (program->account.available() >= request.tokens) co_return ReserveOutcome::kReserved;
    if (written == StoreStatus::kFull) break;
    if (written == StoreStatus::kConflict || written == StoreStatus::kDone) continue;
    if (!written && fresh) {
      log_exhausted(id, program->account, request);
      co_return ReserveOutcome::kExhausted;
    }
    if (!written) fresh = co_await read_shares(id, program, request.deadline);
    if (!written && fresh) continue;
    const auto pause = pace.next_backoff(random_);
    if (!pause) break;
    co_await net::sleep_for(context_, *pause);
  }
  co_return ReserveOutcome::kUnavailable;
}

net::asio::awaitable<std::optional<StoreStatus>> BudgetLedger::raise_grant_in_shares(
    std::string id, ProgramPointer program, TokenRequest request, store::RetryBackoff& pace) {
  std::optional<StoreStatus> last;
  for (const auto share : shares_by_health(id)) {
    auto row = program->account.plan_grant(share, request.tokens, request.from_rows);
    if (!row) continue;
    auto write = budget_write(id, *program, share, *row);
    const auto result = co_await store_.transact_once(std::move(write), pace);
    last = apply_write(id, *program, share, std::move(*row), result);
    if (program->account.available() >= request.tokens || !time_left(request.deadline)) break;
    // Capacity and rate limits apply to the whole store, so the other shares would fail as well.
    if (last == StoreStatus::kFull || last == StoreStatus::kThrottled) break;
    const auto now = net::Clock::now();
    // A single response can get lost, and all responses are late while the store is slow. Retry the
    // same partition before drawing on another share.
    const bool only_part_silent =
        now >= request.requested_at + kPartSilenceTimeout && !store_.latency().silent();
    if (last == StoreStatus::kUnknown && !only_part_silent) break;
    if (store::failed(*last)) budget_parts_.note(budget_row(id, share).part, false, now);
  }
  co_return last;
}

net::asio::awaitable<bool> BudgetLedger::read_shares(std::string id, ProgramPointer program,
                                                     net::TimePoint deadline) {
  bool all = true;
  for (std::size_t share = 0; share < kBudgetShares; ++share) {
    const bool read = co_await read_budget(id, program, share, deadline);
    all = all && read;
  }
  co_return all;
}

store::Transaction BudgetLedger::budget_write(const std::string& id, const Program& program,
                                              std::size_t share, wire::BudgetRow& row) const {
  const auto row_id = budget_row(id, share);
  store::Transaction transaction;
  transaction.conditions.push_back({row_id, program.account.version(share)});
  if (const auto now = clock_.now(net::Clock::now())) {
    // Keep one index entry per row. Otherwise entries of earlier writes would stay in the store for
    // the lifetime of the row.
    const auto replaced = row.expires_at;
    row.__set_expires_at(*now + kBudgetRowTtl.count());
    const auto entry = [&](std::int64_t expires_at) {
      return expiry_row(row_id.part, {expires_at, kBudgetTable, id});
    };
    transaction.puts.push_back(entry(row.expires_at));
    if (replaced > 0 && replaced != row.expires_at) {
      transaction.removals.push_back(entry(replaced).id);
    }
  }
  store::Row put;
  put.id = row_id;
  put.value = wire::encode(row);
  transaction.puts.push_back(std::move(put));
  return transaction;
}

StoreStatus BudgetLedger::apply_write(const std::string& id, Program& program, std::size_t share,
                                      wire::BudgetRow row, const StoreResult& result) {
  const auto now = net::Clock::now();
  if (store::answered(result.status)) budget_parts_.note(budget_row(id, share).part, true, now);
  if (result.status == StoreStatus::kUnknown) program.account.mark_uncertain(share);
  if (result.status == StoreStatus::kConflict) apply_read(program, share, result);
  if (result.status == StoreStatus::kDone) {
    program.account.apply_stored_row(share, std::move(row), result.version);
    program.last_written = now;
  }
  return result.status;
}

net::asio::awaitable<bool> BudgetLedger::read_budget(std::string id, ProgramPointer program,
                                                     std::size_t share, net::TimePoint deadline) {
  const auto row_id = budget_row(id, share);
  store::RangeRead range;
  range.table = row_id.table;
  range.part = row_id.part;
  range.from_key = id;
  range.limit = 1;
  auto result = co_await store_.read(std::move(range), deadline);
  const bool done = result.status == StoreStatus::kDone;
  budget_parts_.note(row_id.part, done, net::Clock::now());
  if (!done) co_return false;
  if (!result.rows.empty() && result.rows.front().id.key != id) result.rows.clear();
  apply_read(*program, share, result);
  co_return true;
}

void BudgetLedger::apply_read(Program& program, std::size_t share,
                              const store::StoreResult& result) {
  if (result.rows.empty() || result.rows.front().version == 0) {
    program.account.apply_missing_row(share);
    return;
  }
  const auto& row = result.rows.front();
  program.account.apply_stored_row(share, wire::decode<wire::BudgetRow>(row.value), row.version);
}

net::asio::awaitable<ReleaseResult> BudgetLedger::write_share(std::string id,
                                                              ProgramPointer program,
                                                              std::size_t share, PlanWrite plan,
                                                              net::TimePoint deadline) {
  auto& account = program->account;
  while (time_left(deadline)) {
    if (account.uncertain(share)) {
      const bool known = co_await read_budget(id, program, share, deadline);
      if (!known) break;
    }
    auto row = (account.*plan)(share);
    if (!row) co_return ReleaseResult{};
    auto write = budget_write(id, *program, share, *row);
    const auto result = co_await store_.transact(std::move(write), deadline);
    const auto status = apply_write(id, *program, share, std::move(*row), result);
    if (status == StoreStatus::kDone) co_return ReleaseResult{true, true};
    if (status == StoreStatus::kFull) break;
  }
  co_return ReleaseResult{false, false};
}

net::asio::awaitable<ReleaseResult> BudgetLedger::write_all_shares(std::string id,
                                                                   ProgramPointer program,
                                                                   PlanWrite plan,
                                                                   net::TimePoint deadline) {
  const auto guard = co_await program->mutex.lock();
  ReleaseResult result;
  for (const auto share : shares_by_health(id)) {
    const auto share_result = co_await write_share(id, program, share, plan, deadline);
    result.released = result.released || share_result.released;
    result.complete = result.complete && share_result.complete;
  }
  co_return result;
}

net::asio::awaitable<ReleaseResult> BudgetLedger::release(std::string id, net::TimePoint deadline) {
  const auto entry = programs_.find(id);
  if (entry == programs_.end()) co_return ReleaseResult{};
  auto held = entry->second;
  co_return co_await write_all_shares(id, held, &BudgetAccount::begin_release, deadline);
}

std::vector<std::string> BudgetLedger::programs_by_last_use() const {
  std::vector<std::pair<net::TimePoint, std::string>> holding;
  for (const auto& [id, program] : programs_) {
    if (program->account.available() > 0) holding.emplace_back(program->last_used, id);
  }
  std::sort(holding.rbegin(), holding.rend());
  std::vector<std::string> ids;
  ids.reserve(holding.size());
  for (auto& [last_used, id] : holding) ids.push_back(std::move(id));
  return ids;
}

net::asio::awaitable<void> BudgetLedger::run_release_worker(std::shared_ptr<Releases> releases) {
  while (releases->next < releases->programs.size() && time_left(releases->deadline)) {
    const auto id = releases->programs[releases->next++];
    const auto result = co_await release(id, releases->deadline);
    releases->done += result.complete ? 1 : 0;
  }
  --releases->workers;
}

net::asio::awaitable<void> BudgetLedger::release_all(net::TimePoint deadline) {
  releasing_all_ = true;
  auto releases = std::make_shared<Releases>();
  releases->programs = programs_by_last_use();
  releases->deadline = deadline;
  releases->workers = kMaxConcurrentReleases;
  for (int worker = 0; worker < kMaxConcurrentReleases; ++worker) {
    net::asio::co_spawn(context_, run_release_worker(releases), net::asio::detached);
  }
  while (releases->workers > 0 && time_left(deadline)) {
    co_await net::sleep_for(context_, kReleasePollInterval);
  }
  log_.event("tokens_released")
      .with("programs", releases->programs.size())
      .with("done", releases->done);
}

net::asio::awaitable<void> BudgetLedger::evict(std::string id) {
  auto held = programs_.at(id);
  const auto last_used = held->last_used;
  const auto deadline = net::Clock::now() + kEvictionTimeout;
  const auto result =
      co_await write_all_shares(id, held, &BudgetAccount::begin_retirement, deadline);
  held->evicting = false;
  // NOTE: a turn may have started in the meantime; its account then continues from the written row.
  const bool unused = held->last_used == last_used && held->account.idle();
  if (!result.complete || !unused) co_return;
  escrow_.record_spent(id, held->account.escrow_spent());
  programs_.erase(id);
}

std::map<std::string, std::int64_t> BudgetLedger::escrow_spent() const {
  std::map<std::string, std::int64_t> spent;
  for (const auto& [id, program] : programs_) {
    const auto tokens = program->account.escrow_spent();
    if (tokens > 0) spent[id] = tokens;
  }
  return spent;
}

net::asio::awaitable<void> BudgetLedger::refresh(std::string id) {
  auto held = programs_.at(id);
  co_await write_all_shares(id, held, &BudgetAccount::current_row,
                            net::Clock::now() + kEvictionTimeout);
}

void BudgetLedger::evict_idle(net::TimePoint now) {
  if (now < next_eviction_) return;
  next_eviction_ = now + kEvictionInterval;
  std::size_t started = 0;
  for (const auto& [id, program] : programs_) {
    const bool idle = now >= program->last_used + kIdleTimeout && program->account.idle();
    const bool refresh_due = now >= program->last_written + kBudgetRefreshInterval;
    if (program->evicting || (!idle && !refresh_due)) continue;
    if (idle) {
      program->evicting = true;
      net::asio::co_spawn(context_, evict(id), net::asio::detached);
    } else {
      program->last_written = now;
      net::asio::co_spawn(context_, refresh(id), net::asio::detached);
    }
    if (++started == kMaxEvictionsPerRound) return;
  }
}

std::vector<std::int64_t> BudgetLedger::other_holders(const std::string& id) {
  return program(id)->account.other_holders();
}

void BudgetLedger::mark_exhausted(const std::string& id, std::int64_t tokens) {
  auto entry = program(id);
  entry->exhausted_tokens = tokens;
  entry->exhausted_until = net::Clock::now() + kExhaustedCacheTtl;
}

bool BudgetLedger::recently_exhausted(const std::string& id, std::int64_t tokens) const {
  const auto entry = programs_.find(id);
  return entry != programs_.end() && tokens >= entry->second->exhausted_tokens &&
         net::Clock::now() < entry->second->exhausted_until;
}

void BudgetLedger::settle(const std::string& id, std::int64_t reserved, std::int64_t used) {
  program(id)->account.settle(reserved, used);
}

}  // namespace sailgate::ledger
