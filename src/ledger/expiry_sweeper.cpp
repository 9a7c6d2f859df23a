#include "ledger/expiry_sweeper.hpp"

#include <algorithm>

#include "ledger/sweep_schedule.hpp"
#include "store/row_parts.hpp"

namespace sailgate::ledger {

namespace {

using store::StoreStatus;

/// Rows are kept this much longer than their expiry time, because the store's clock is only
/// estimated.
constexpr std::int64_t kClockMarginMs = 10'000;
constexpr net::Millis kCallTimeout{700};
/// A transaction holds at most 100 operations, and each row takes three.
constexpr int kMaxRowsPerBatch = 32;

store::RowId row_of(const store::Row& entry, const ExpiryEntry& decoded) {
  return {decoded.table, entry.id.part, decoded.key};
}

bool same_row(const store::RowId& one, const store::RowId& other) {
  return one.table == other.table && one.part == other.part && one.key == other.key;
}

}  // namespace

ExpirySweeper::Batch ExpirySweeper::plan(const std::vector<store::Row>& entries,
                                         const VersionMatches& version_matches) {
  Batch batch;
  for (const auto& entry : entries) {
    batch.transaction.removals.push_back(entry.id);
    const auto decoded = decode_expiry_key(entry.id.key);
    if (!decoded) continue;
    const store::RowCondition condition{row_of(entry, *decoded), entry.version};
    if (!version_matches(condition)) continue;
    batch.transaction.conditions.push_back(condition);
    batch.transaction.removals.push_back(condition.id);
    ++batch.rows;
  }
  return batch;
}

net::asio::awaitable<std::optional<std::size_t>> ExpirySweeper::remove(
    std::vector<store::Row> entries) {
  auto batch = plan(entries, [](const store::RowCondition&) { return true; });
  auto result = co_await store_.transact(std::move(batch.transaction), kCallTimeout);
  if (result.status == StoreStatus::kConflict) {
    const auto matches = [&rows = result.rows](const store::RowCondition& condition) {
      return std::any_of(rows.begin(), rows.end(), [&](const store::Row& row) {
        return same_row(row.id, condition.id) && row.version == condition.version;
      });
    };
    batch = plan(entries, matches);
    result = co_await store_.transact(std::move(batch.transaction), kCallTimeout);
  }
  if (result.status != StoreStatus::kDone) co_return std::nullopt;
  co_return batch.rows;
}

net::asio::awaitable<std::size_t> ExpirySweeper::sweep_part(std::string part) {
  std::size_t removed = 0;
  bool more = true;
  while (more) {
    const auto now = clock_.now(net::Clock::now());
    if (!now) break;
    store::RangeRead range;
    range.table = kExpiryTable;
    range.part = part;
    range.to_key = first_expiry_key(*now - kClockMarginMs);
    range.limit = kMaxRowsPerBatch;
    auto page = co_await store_.read(std::move(range), kCallTimeout);
    if (page.status != StoreStatus::kDone || page.rows.empty()) break;
    more = page.more;
    const auto done = co_await remove(std::move(page.rows));
    if (!done) break;
    removed += *done;
  }
  if (removed > 0) log_.event("rows_expired").with("part", part).with("rows", removed);
  co_return removed;
}

net::Millis ExpirySweeper::pause() const {
  return SweepSchedule::pause(nodes_(), store::partition_count(), full_());
}

net::asio::awaitable<void> ExpirySweeper::run() {
  while (true) {
    co_await net::sleep_for(context_, pause());
    co_await sweep_part(store::partition_name(random_.below(store::partition_count())));
  }
}

}  // namespace sailgate::ledger
