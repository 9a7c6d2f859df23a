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
/// A program that was not used for so long is forgotten, a few at a time.
constexpr net::Millis kIdleTime{120'000};
constexpr net::Millis kForgetInterval{1000};
constexpr net::Millis kForgetTime{500};
constexpr std::size_t kForgottenAtOnce = 16;
/// A budget that nobody wrote for so long belongs to a program that has ended: none lives for more
/// than ten minutes (kMaxProgramLifetime), and holders write theirs at least twice in this time. A
/// program's rows and their entries take some 200 bytes: by reckoning 32 MB in this time at 90
/// programs a second, 130 MB in two hours.
constexpr net::Millis kBudgetLife{std::chrono::minutes(30)};
/// Budgets that are held are written again at least this often.
constexpr net::Millis kBudgetTouch{std::chrono::minutes(10)};
/// A budget that was found exhausted, holders asked, is not looked at again for this long.
constexpr net::Millis kExhaustedMemory{800};
/// A turn is begun with this part of its most tokens at least: turns use 45 parts in 100 of their
/// most (257 of 576 tokens in the mean on faama-sailgate), and one that needs more is cut.
constexpr std::int64_t kUsefulDivisor = 2;
/// A planned stop gives back the tokens of so many programs side by side.
constexpr int kReleasesAtOnce = 8;
constexpr net::Millis kReleasePoll{10};
/// A part of the store that is silent for so long is taken to be out of service.
constexpr net::Millis kSilenceOfPart{100};

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
  auto entry = program(id);
  update_escrow(id, *entry, tokens, budget);
  if (entry->account.reserve(tokens)) co_return ReserveOutcome::kReserved;
  if (recently_exhausted(id, tokens)) co_return ReserveOutcome::kExhausted;
  const auto guard = co_await entry->mutex.lock();
  // Programs without end ask many times at once: one of them finds out for all.
  if (recently_exhausted(id, tokens)) co_return ReserveOutcome::kExhausted;
  TokenDemand demand{tokens, budget, net::Clock::now(), deadline};
  while (true) {
    demand.from_rows = update_escrow(id, *entry, tokens, budget);
    if (entry->account.reserve(tokens)) co_return ReserveOutcome::kReserved;
    const auto outcome = co_await raise_grant(id, entry, demand);
    if (outcome != ReserveOutcome::kReserved) co_return outcome;
  }
}

std::int64_t BudgetLedger::reserve_remaining(const std::string& id, std::int64_t tokens,
                                             std::int64_t budget) {
  auto entry = program(id);
  update_escrow(id, *entry, tokens, budget);
  const auto rest = std::min(entry->account.available(), tokens);
  if (rest * kUsefulDivisor < tokens) return 0;
  return entry->account.reserve(rest) ? rest : 0;
}

std::int64_t BudgetLedger::update_escrow(const std::string& id, Program& program,
                                         std::int64_t tokens, std::int64_t budget) {
  const auto division = escrow_.division(id, budget, tokens);
  program.account.set_escrow(division.escrow);
  return division.from_rows;
}

store::RowId BudgetLedger::budget_row(const std::string& program, std::size_t share) {
  return {kBudgetTable, store::candidate_parts(program)[share], program};
}

std::vector<std::size_t> BudgetLedger::shares_by_health(const std::string& program) const {
  auto parts = store::candidate_parts(program);
  parts.resize(kBudgetShares);
  // Holders begin with different shares, so that they seldom disturb each other.
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
                                 const TokenDemand& demand) {
  auto line = log_.event("budget_exhausted");
  line.with("program", id)
      .with("tokens", demand.tokens)
      .with("from_rows", demand.from_rows)
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
                                                               TokenDemand demand) {
  bool fresh = false;  // all rows were read after this call began
  auto pace = store_.begin(demand.deadline);
  while (pace.time_left()) {
    const auto drawn = co_await draw_on_shares(id, program, demand, pace);
    if (program->account.available() >= demand.tokens) co_return ReserveOutcome::kReserved;
    if (drawn == StoreStatus::kFull) break;
    if (drawn == StoreStatus::kConflict || drawn == StoreStatus::kDone) continue;
    if (!drawn && fresh) {
      log_exhausted(id, program->account, demand);
      co_return ReserveOutcome::kExhausted;
    }
    if (!drawn) fresh = co_await read_shares(id, program, demand.deadline);
    if (!drawn && fresh) continue;
    const auto pause = pace.next_pause(random_);
    if (!pause) break;
    co_await net::sleep_for(context_, *pause);
  }
  co_return ReserveOutcome::kUnavailable;
}

net::asio::awaitable<std::optional<StoreStatus>> BudgetLedger::draw_on_shares(
    std::string id, ProgramPointer program, TokenDemand demand, store::Pace& pace) {
  std::optional<StoreStatus> last;
  for (const auto share : shares_by_health(id)) {
    auto row = program->account.plan_grant(share, demand.tokens, demand.from_rows);
    if (!row) continue;
    auto write = budget_write(id, *program, share, *row);
    const auto result = co_await store_.transact_once(std::move(write), pace);
    last = take_written(id, *program, share, std::move(*row), result);
    if (program->account.available() >= demand.tokens || !time_left(demand.deadline)) break;
    // Neither space nor rate is a part's own: the other shares have no more of it.
    if (last == StoreStatus::kFull || last == StoreStatus::kThrottled) break;
    const auto now = net::Clock::now();
    // Single answers get lost, and all are late while the store is slow: the part is asked again
    // before another share is drawn on.
    const bool part_alone = now >= demand.asked_at + kSilenceOfPart && !store_.latency().silent();
    if (last == StoreStatus::kUnknown && !part_alone) break;
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
    // One entry a row: those of earlier writes would stay in the store for the row's whole life.
    const auto replaced = row.expires_at;
    row.__set_expires_at(*now + kBudgetLife.count());
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

StoreStatus BudgetLedger::take_written(const std::string& id, Program& program, std::size_t share,
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

net::asio::awaitable<ReleaseResult> BudgetLedger::give_back_share(std::string id,
                                                                  ProgramPointer program,
                                                                  std::size_t share, GiveBack plan,
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
    const auto status = take_written(id, *program, share, std::move(*row), result);
    if (status == StoreStatus::kDone) co_return ReleaseResult{true, true};
    if (status == StoreStatus::kFull) break;
  }
  co_return ReleaseResult{false, false};
}

net::asio::awaitable<ReleaseResult> BudgetLedger::give_back(std::string id, ProgramPointer program,
                                                            GiveBack plan,
                                                            net::TimePoint deadline) {
  const auto guard = co_await program->mutex.lock();
  ReleaseResult result;
  for (const auto share : shares_by_health(id)) {
    const auto of_share = co_await give_back_share(id, program, share, plan, deadline);
    result.released = result.released || of_share.released;
    result.complete = result.complete && of_share.complete;
  }
  co_return result;
}

net::asio::awaitable<ReleaseResult> BudgetLedger::release(std::string id, net::TimePoint deadline) {
  const auto entry = programs_.find(id);
  if (entry == programs_.end()) co_return ReleaseResult{};
  auto held = entry->second;
  co_return co_await give_back(id, held, &BudgetAccount::begin_release, deadline);
}

std::vector<std::string> BudgetLedger::holding_by_use() const {
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

net::asio::awaitable<void> BudgetLedger::release_next(std::shared_ptr<Releases> releases) {
  while (releases->next < releases->programs.size() && time_left(releases->deadline)) {
    const auto id = releases->programs[releases->next++];
    const auto result = co_await release(id, releases->deadline);
    releases->done += result.complete ? 1 : 0;
  }
  --releases->workers;
}

net::asio::awaitable<void> BudgetLedger::release_all(net::TimePoint deadline) {
  auto releases = std::make_shared<Releases>();
  releases->programs = holding_by_use();
  releases->deadline = deadline;
  releases->workers = kReleasesAtOnce;
  for (int worker = 0; worker < kReleasesAtOnce; ++worker) {
    net::asio::co_spawn(context_, release_next(releases), net::asio::detached);
  }
  while (releases->workers > 0 && time_left(deadline)) {
    co_await net::sleep_for(context_, kReleasePoll);
  }
  log_.event("tokens_released")
      .with("programs", releases->programs.size())
      .with("done", releases->done);
}

net::asio::awaitable<void> BudgetLedger::forget(std::string id) {
  auto held = programs_.at(id);
  const auto last_used = held->last_used;
  const auto deadline = net::Clock::now() + kForgetTime;
  const auto result = co_await give_back(id, held, &BudgetAccount::begin_retirement, deadline);
  held->leaving = false;
  // NOTE: a turn may have come meanwhile; its account goes on with what the row says.
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

net::asio::awaitable<void> BudgetLedger::touch(std::string id) {
  auto held = programs_.at(id);
  co_await give_back(id, held, &BudgetAccount::current_row, net::Clock::now() + kForgetTime);
}

void BudgetLedger::evict_idle(net::TimePoint now) {
  if (now < next_forgetting_) return;
  next_forgetting_ = now + kForgetInterval;
  std::size_t begun = 0;
  for (const auto& [id, program] : programs_) {
    const bool idle = now >= program->last_used + kIdleTime && program->account.idle();
    const bool aging = now >= program->last_written + kBudgetTouch;
    if (program->leaving || (!idle && !aging)) continue;
    if (idle) {
      program->leaving = true;
      net::asio::co_spawn(context_, forget(id), net::asio::detached);
    } else {
      program->last_written = now;
      net::asio::co_spawn(context_, touch(id), net::asio::detached);
    }
    if (++begun == kForgottenAtOnce) return;
  }
}

std::vector<std::int64_t> BudgetLedger::other_holders(const std::string& id) {
  return program(id)->account.other_holders();
}

void BudgetLedger::mark_exhausted(const std::string& id, std::int64_t tokens) {
  auto entry = program(id);
  entry->exhausted_tokens = tokens;
  entry->exhausted_until = net::Clock::now() + kExhaustedMemory;
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
