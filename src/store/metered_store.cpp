#include "store/metered_store.hpp"

#include <map>
#include <utility>

namespace sailgate::store {

namespace {

/// Changes aggregated by table.
std::vector<RowsChanged> changes_of(const Transaction& transaction) {
  std::map<std::string, RowsChanged> by_table;
  for (const auto& row : transaction.puts) {
    auto& changed = by_table[row.id.table];
    ++changed.rows_written;
    changed.bytes_written += static_cast<std::int64_t>(row.id.key.size() + row.value.size());
  }
  for (const auto& id : transaction.removals) ++by_table[id.table].rows_removed;
  std::vector<RowsChanged> changes;
  for (auto& [table, changed] : by_table) {
    changed.table = table;
    changes.push_back(std::move(changed));
  }
  return changes;
}

}  // namespace

const char* name_of(StoreCall call) {
  switch (call) {
    case StoreCall::kWrite:
      return "write";
    case StoreCall::kRead:
      return "read";
    case StoreCall::kFeed:
      return "feed";
  }
  return "";
}

void MeteredStore::note(StoreCall call, const StoreResult& result) {
  if (meter_.ended) meter_.ended(call, result.status);
  auto& logged = logged_[static_cast<std::size_t>(call)];
  if (!failed(result.status)) {
    logged = StoreStatus::kDone;
    return;
  }
  if (result.status == logged) return;
  logged = result.status;
  log_.event("store_call_failed")
      .with("call", name_of(call))
      .with("status", name_of(result.status))
      .with("store_version", result.version);
}

void MeteredStore::note_changes(const std::vector<RowsChanged>& changes) const {
  if (!meter_.changed) return;
  for (const auto& changed : changes) meter_.changed(changed);
}

net::asio::awaitable<StoreResult> MeteredStore::transact(Transaction transaction,
                                                         net::Millis timeout) {
  const auto changes = changes_of(transaction);
  auto result = co_await store_.transact(std::move(transaction), timeout);
  note(StoreCall::kWrite, result);
  if (result.status == StoreStatus::kDone) note_changes(changes);
  co_return result;
}

net::asio::awaitable<StoreResult> MeteredStore::read(RangeRead range, net::Millis timeout) {
  auto result = co_await store_.read(std::move(range), timeout);
  note(StoreCall::kRead, result);
  co_return result;
}

net::asio::awaitable<StoreResult> MeteredStore::follow(std::string table, std::int64_t after,
                                                       net::Millis wait, net::Millis timeout) {
  auto result = co_await store_.follow(std::move(table), after, wait, timeout);
  note(StoreCall::kFeed, result);
  co_return result;
}

}  // namespace sailgate::store
