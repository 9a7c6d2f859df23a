/// @file The rows of a table store in memory, with versions, conditions, ranges and a history: what
/// the simulated table, the tests' table and the stand-in's have in common.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "store/table_store.hpp"

namespace sailgate::simulation {

/// Deterministic, no I/O, not thread-safe.
class InMemoryRows {
 public:
  /// All or nothing. On a conflict the result has the condition rows as they are.
  store::StoreResult transact(const store::Transaction& transaction);
  store::StoreResult read(const store::RangeRead& range) const;
  /// Changes of a table after a version, each row as it was last; kHistoryLost when some are
  /// forgotten.
  store::StoreResult changes(const std::string& table, std::int64_t after) const;
  /// Changes up to now are not told any more.
  void forget_history() {
    history_start_ = version_;
    history_.clear();
  }

  std::int64_t version() const { return version_; }
  std::size_t size() const { return rows_.size(); }
  bool has(const std::string& table, const std::string& key) const;
  /// Keys and values that are kept.
  std::size_t bytes() const { return bytes_; }
  /// Transactions that write rows end as kFull while more than so much is kept.
  void set_capacity(std::size_t bytes) { capacity_ = bytes; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  void put(store::Row row);
  void remove(const store::RowId& id);

  static Key key_of(const store::RowId& id) { return {id.table, id.part, id.key}; }

  std::map<Key, store::Row> rows_;
  std::vector<store::Row> history_;
  std::int64_t version_ = 0;
  std::int64_t history_start_ = 0;
  std::size_t bytes_ = 0;
  std::size_t capacity_ = SIZE_MAX;
};

}  // namespace sailgate::simulation
