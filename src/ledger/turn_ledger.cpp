#include "ledger/turn_ledger.hpp"

#include <stdexcept>
#include <utility>

#include "ledger/expiry_index.hpp"
#include "ledger/turn_row.hpp"
#include "wire/codec.hpp"

namespace sailgate::ledger {

namespace {

constexpr const char* kTurnTable = "turns";
constexpr std::size_t kTurnCacheBytes = std::size_t{24} << 20U;
/// A row is kept for its retention plus a quarter of it. A row must be retained for as long as any
/// later turn of its program. With the slack, a program that takes no longer than this quarter (15
/// s of 60 s) never rewrites a row. Keeping rows for twice the retention would by calculation take
/// 46% more space in the store: rows stay for about another 22 s until they are removed.
constexpr std::int64_t kRetentionSlack = 4;

}  // namespace

TurnLedger::TurnLedger(net::asio::io_context& context, store::TableStore& store,
                       const store::StoreClock& clock, store::LatencyEstimate& latency,
                       observe::StructuredLog& log, std::uint64_t seed)
    : context_(context),
      clock_(clock),
      rows_(context, store, latency, seed),
      log_(log),
      cache_(kTurnCacheBytes) {}

net::asio::awaitable<void> TurnLedger::read_row(std::shared_ptr<RowReads> reads, std::size_t index,
                                                std::string id, net::TimePoint deadline) {
  reads->found[index] = co_await rows_.find(kTurnTable, std::move(id), deadline);
  if (--reads->pending == 0) reads->ended.cancel();
}

net::asio::awaitable<std::vector<store::RowLookupResult>> TurnLedger::read_rows(
    std::vector<std::string> ids, net::TimePoint deadline) {
  const auto reads = std::make_shared<RowReads>(context_, ids.size());
  reads->ended.expires_at(net::TimePoint::max());
  for (std::size_t index = 0; index < ids.size(); ++index) {
    net::asio::co_spawn(context_, read_row(reads, index, ids[index], deadline),
                        net::asio::detached);
  }
  net::Error ignored;
  if (reads->pending > 0) co_await reads->ended.async_wait(net::awaiting(ignored));
  co_return std::move(reads->found);
}

std::vector<std::string> TurnLedger::uncached_ancestors(const wire::TurnRow& row,
                                                        TurnPointer& known) const {
  auto before = row.ancestors;
  if (before.empty() && !row.earlier.empty()) before.push_back(row.earlier);
  for (auto id = before.begin(); id != before.end(); ++id) {
    known = cache_.find(*id);
    if (known == nullptr) continue;
    before.erase(id, before.end());
    break;
  }
  return before;
}

net::asio::awaitable<TurnLedger::ChainRead> TurnLedger::read_chain(std::string id,
                                                                   net::TimePoint deadline) {
  ChainRead chain;
  std::vector<std::string> unread{id};
  while (!unread.empty()) {
    const auto rows = co_await read_rows(unread, deadline);
    for (std::size_t index = 0; index < rows.size(); ++index) {
      const auto& found = rows[index];
      if (found.lookup == store::RowLookup::kUnavailable) {
        chain.outcome = LookupOutcome::kUnavailable;
        co_return chain;
      }
      if (found.lookup == store::RowLookup::kAbsent) {
        log_.event("turn_absent")
            .with("turn", unread[index])
            .with("wanted", id)
            .with("store_version", found.version);
        chain.outcome = LookupOutcome::kAbsent;
        co_return chain;
      }
      chain.rows.push_back(wire::decode<wire::TurnRow>(found.value));
    }
    unread = chain.known == nullptr ? uncached_ancestors(chain.rows.back(), chain.known)
                                    : std::vector<std::string>{};
  }
  co_return chain;
}

net::asio::awaitable<LookupResult> TurnLedger::find(std::string id, net::TimePoint deadline) {
  if (auto cached = cache_.find(id))
    co_return LookupResult{LookupOutcome::kFound, std::move(cached)};
  auto chain = co_await read_chain(std::move(id), deadline);
  if (chain.outcome != LookupOutcome::kFound) co_return LookupResult{chain.outcome, nullptr};
  auto known = std::move(chain.known);
  for (auto row = chain.rows.rbegin(); row != chain.rows.rend(); ++row) {
    known = cache_chain(*row, std::move(known));
  }
  co_return LookupResult{LookupOutcome::kFound, std::move(known)};
}

TurnPointer TurnLedger::cache_chain(const wire::TurnRow& row, TurnPointer earlier) {
  if (row.segments.empty()) throw std::invalid_argument("turn row contains no segments");
  TurnPointer last = std::move(earlier);
  for (const auto& segment : row.segments) {
    auto cached = cache_.find(segment.turn);
    if (cached == nullptr) {
      cached = std::make_shared<const Turn>(
          Turn{segment.turn, segment.input, segment.output, std::move(last)});
      cache_.put(cached);
    }
    cached->row_expires_at = std::max(cached->row_expires_at, segment.row_expires_at);
    last = std::move(cached);
  }
  return last;
}

net::asio::awaitable<bool> TurnLedger::store_row(TurnPointer turn, net::Millis retention,
                                                 net::TimePoint deadline) {
  std::vector<store::Row> companions;
  std::int64_t expires_at = 0;
  if (const auto now = clock_.now(net::Clock::now())) {
    expires_at = *now + retention.count() + retention.count() / kRetentionSlack;
    companions.push_back(expiry_row("", {expires_at, kTurnTable, turn->id}));
  }
  auto value = wire::encode(encode_turn(*turn, expires_at));
  const bool stored =
      co_await rows_.put(kTurnTable, turn->id, std::move(value), std::move(companions), deadline);
  if (stored) turn->row_expires_at = expires_at;
  co_return stored;
}

net::asio::awaitable<bool> TurnLedger::extend_ancestors(TurnPointer turn, net::Millis retention,
                                                        net::TimePoint deadline) {
  const auto now = clock_.now(net::Clock::now());
  if (!now) co_return true;
  for (auto row = turn->previous; row != nullptr; row = row->previous) {
    if (row->row_expires_at >= *now + retention.count()) continue;
    const bool extended = co_await store_row(row, retention, deadline);
    if (!extended) co_return false;
  }
  co_return true;
}

net::asio::awaitable<bool> TurnLedger::record(TurnPointer turn, net::Millis retention,
                                              net::TimePoint deadline) {
  bool durable = co_await extend_ancestors(turn, retention, deadline);
  if (durable) durable = co_await store_row(turn, retention, deadline);
  if (durable) cache_.put(turn);
  co_return durable;
}

}  // namespace sailgate::ledger
