#include "simulation/in_memory_rows.hpp"

#include <algorithm>

namespace sailgate::simulation {

using store::StoreResult;
using store::StoreStatus;

namespace {

std::size_t size_of(const store::Row& row) { return row.id.key.size() + row.value.size(); }

}  // namespace

void InMemoryRows::put(store::Row row) {
  remove(row.id);
  row.version = version_;
  bytes_ += size_of(row);
  rows_[key_of(row.id)] = row;
  history_.push_back(std::move(row));
}

void InMemoryRows::remove(const store::RowId& id) {
  const auto row = rows_.find(key_of(id));
  if (row == rows_.end()) return;
  bytes_ -= size_of(row->second);
  rows_.erase(row);
}

StoreResult InMemoryRows::transact(const store::Transaction& transaction) {
  StoreResult result;
  result.version = version_;
  bool holds = true;
  for (const auto& condition : transaction.conditions) {
    const auto row = rows_.find(key_of(condition.id));
    const auto version = row == rows_.end() ? 0 : row->second.version;
    holds = holds && version == condition.version;
    if (row != rows_.end()) result.rows.push_back(row->second);
  }
  if (!holds) {
    result.status = StoreStatus::kConflict;
    return result;
  }
  result.rows.clear();
  if (!transaction.puts.empty() && bytes_ >= capacity_) {
    result.status = StoreStatus::kFull;
    return result;
  }
  result.version = ++version_;
  for (const auto& row : transaction.puts) put(row);
  for (const auto& id : transaction.removals) {
    remove(id);
    store::Row gone;
    gone.id = id;
    gone.version = version_;
    gone.removed = true;
    history_.push_back(std::move(gone));
  }
  result.status = StoreStatus::kDone;
  return result;
}

StoreResult InMemoryRows::read(const store::RangeRead& range) const {
  StoreResult result;
  result.status = StoreStatus::kDone;
  result.version = version_;
  auto row = rows_.lower_bound({range.table, range.part, range.from_key});
  for (; row != rows_.end(); ++row) {
    const auto& [table, part, key] = row->first;
    if (table != range.table || part != range.part) break;
    if (!range.to_key.empty() && key >= range.to_key) break;
    if (result.rows.size() == static_cast<std::size_t>(range.limit)) {
      result.more = true;
      break;
    }
    result.rows.push_back(row->second);
  }
  return result;
}

StoreResult InMemoryRows::changes(const std::string& table, std::int64_t after) const {
  StoreResult result;
  result.version = version_;
  if (after < history_start_) {
    result.status = StoreStatus::kHistoryLost;
    return result;
  }
  result.status = StoreStatus::kDone;
  const auto begin =
      std::partition_point(history_.begin(), history_.end(),
                           [after](const store::Row& row) { return row.version <= after; });
  std::copy_if(begin, history_.end(), std::back_inserter(result.rows),
               [&table](const store::Row& row) { return row.id.table == table; });
  return result;
}

bool InMemoryRows::has(const std::string& table, const std::string& key) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& entry) {
    return entry.second.id.table == table && entry.second.id.key == key;
  });
}

}  // namespace sailgate::simulation
