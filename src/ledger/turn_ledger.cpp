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

}  // namespace

TurnLedger::TurnLedger(net::asio::io_context& context, store::TableStore& store,
                       const store::StoreClock& clock, store::LatencyEstimate& latency,
                       observe::StructuredLog& log, std::uint64_t seed)
    : clock_(clock), rows_(context, store, latency, seed), log_(log), cache_(kTurnCacheBytes) {}

net::asio::awaitable<Lookup> TurnLedger::find(std::string id, net::TimePoint deadline) {
  std::vector<wire::TurnRow> rows;  // newest first
  TurnPointer known = cache_.find(id);
  std::string wanted = id;
  while (known == nullptr && !wanted.empty()) {
    const auto found = co_await rows_.find(kTurnTable, wanted, deadline);
    if (found.lookup == store::RowLookup::kUnavailable) {
      co_return Lookup{LookupOutcome::kUnavailable, nullptr};
    }
    if (found.lookup == store::RowLookup::kAbsent) {
      log_.event("turn_absent").with("turn", wanted).with("store_version", found.version);
      co_return Lookup{LookupOutcome::kAbsent, nullptr};
    }
    rows.push_back(wire::decode<wire::TurnRow>(found.value));
    wanted = rows.back().earlier;
    if (!wanted.empty()) known = cache_.find(wanted);
  }
  for (auto row = rows.rbegin(); row != rows.rend(); ++row) known = remember_chain(*row, known);
  co_return Lookup{LookupOutcome::kFound, known};
}

TurnPointer TurnLedger::remember_chain(const wire::TurnRow& row, TurnPointer earlier) {
  if (row.segments.empty()) throw std::invalid_argument("a turn's row has no segments");
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
  if (const auto now = clock_.now(net::Clock::now())) {
    // Twice the time that is owed: the row is seldom written again for the turns that follow.
    turn->row_expires_at = *now + 2 * retention.count();
    companions.push_back(expiry_row("", {turn->row_expires_at, kTurnTable, turn->id}));
  }
  auto value = wire::encode(encode_turn(*turn));
  co_return co_await rows_.put(kTurnTable, turn->id, std::move(value), std::move(companions),
                               deadline);
}

net::asio::awaitable<bool> TurnLedger::extend_chain(TurnPointer turn, net::Millis retention,
                                                    net::TimePoint deadline) {
  const auto now = clock_.now(net::Clock::now());
  if (!now) co_return true;
  for (auto row = first_outside_row(*turn); row != nullptr; row = first_outside_row(*row)) {
    if (row->row_expires_at >= *now + retention.count()) continue;
    const bool extended = co_await store_row(row, retention, deadline);
    if (!extended) co_return false;
  }
  co_return true;
}

net::asio::awaitable<bool> TurnLedger::record(TurnPointer turn, net::Millis retention,
                                              net::TimePoint deadline) {
  bool durable = co_await extend_chain(turn, retention, deadline);
  if (durable) durable = co_await store_row(turn, retention, deadline);
  if (durable) cache_.put(turn);
  co_return durable;
}

}  // namespace sailgate::ledger
