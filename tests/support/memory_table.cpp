#include "support/memory_table.hpp"

#include <algorithm>

namespace sailgate::test {

using store::StoreResult;
using store::StoreStatus;

StoreResult MemoryTable::apply(const store::Transaction& transaction) {
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
  ++version_;
  for (auto row : transaction.puts) {
    row.version = version_;
    rows_[key_of(row.id)] = row;
    history_.push_back(row);
  }
  for (const auto& id : transaction.removals) {
    rows_.erase(key_of(id));
    store::Row gone;
    gone.id = id;
    gone.version = version_;
    gone.removed = true;
    history_.push_back(gone);
  }
  result.status = StoreStatus::kDone;
  result.version = version_;
  result.rows.clear();
  return result;
}

bool MemoryTable::out_of_service(const store::Transaction& transaction) const {
  const auto out = [this](const store::RowId& id) { return parts_out_.count(id.part) > 0; };
  for (const auto& condition : transaction.conditions) {
    if (out(condition.id)) return true;
  }
  for (const auto& row : transaction.puts) {
    if (out(row.id)) return true;
  }
  return std::any_of(transaction.removals.begin(), transaction.removals.end(), out);
}

net::asio::awaitable<StoreResult> MemoryTable::transact(store::Transaction transaction,
                                                        net::Millis timeout) {
  ++writes_;
  longest_timeout_ = std::max(longest_timeout_, timeout);
  StoreResult result;
  if (out_of_service(transaction)) {
    result.status = StoreStatus::kRefused;
    co_return result;
  }
  switch (mode_) {
    case Mode::kUp:
      result = apply(transaction);
      break;
    case Mode::kRefuses:
      result.status = StoreStatus::kRefused;
      break;
    case Mode::kSilent:
      co_await net::sleep_for(context_, timeout);
      result.status = StoreStatus::kUnknown;
      break;
    case Mode::kLosesAnswers:
      apply(transaction);
      result.status = StoreStatus::kUnknown;
      break;
    case Mode::kLate:
      late_.push_back(std::move(transaction));
      result.status = StoreStatus::kUnknown;
      break;
  }
  co_return result;
}

net::asio::awaitable<StoreResult> MemoryTable::read(store::RangeRead range, net::Millis) {
  ++reads_;
  StoreResult result;
  if (mode_ == Mode::kRefuses || parts_out_.count(range.part) > 0) {
    result.status = StoreStatus::kRefused;
    co_return result;
  }
  result.status = StoreStatus::kDone;
  result.version = stale_version_ >= 0 ? stale_version_ : version_;
  for (const auto& [key, row] : rows_) {
    const bool wanted = row.id.table == range.table && row.id.part == range.part &&
                        row.id.key >= range.from_key && row.version <= result.version;
    if (!wanted) continue;
    if (static_cast<int>(result.rows.size()) == range.limit) {
      result.more = true;
      break;
    }
    result.rows.push_back(row);
  }
  co_return result;
}

net::asio::awaitable<StoreResult> MemoryTable::follow(std::string table, std::int64_t after,
                                                      net::Millis, net::Millis) {
  StoreResult result;
  if (mode_ == Mode::kRefuses) {
    result.status = StoreStatus::kRefused;
    co_return result;
  }
  co_await net::sleep_for(context_, net::Millis(2));
  if (after < history_start_) {
    result.status = StoreStatus::kHistoryLost;
    result.version = version_;
    co_return result;
  }
  result.status = StoreStatus::kDone;
  result.version = version_;
  for (const auto& row : history_) {
    if (row.id.table == table && row.version > after) result.rows.push_back(row);
  }
  co_return result;
}

void MemoryTable::apply_late() {
  while (!late_.empty()) {
    apply(late_.front());
    late_.pop_front();
  }
}

void MemoryTable::put(const std::string& table, const std::string& part, const std::string& key,
                      const std::string& value) {
  store::Transaction transaction;
  store::Row row;
  row.id = {table, part, key};
  row.value = value;
  transaction.puts.push_back(row);
  apply(transaction);
}

void MemoryTable::remove(const std::string& table, const std::string& part,
                         const std::string& key) {
  store::Transaction transaction;
  transaction.removals.push_back({table, part, key});
  apply(transaction);
}

bool MemoryTable::has(const std::string& table, const std::string& key) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& entry) {
    return entry.second.id.table == table && entry.second.id.key == key;
  });
}

}  // namespace sailgate::test
