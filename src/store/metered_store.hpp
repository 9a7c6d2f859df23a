/// @file Counts what is asked of the table store and how each call ended.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "observe/structured_log.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// Kinds of calls, as metrics name them.
enum class StoreCall { kWrite, kRead, kFeed };

const char* name_of(StoreCall call);

/// What one transaction that took effect changed.
struct RowsChanged {
  std::string table;
  std::int64_t rows_written = 0;
  std::int64_t rows_removed = 0;
  std::int64_t bytes_written = 0;  ///< of keys and values
};

/// Where a metered store's figures go. Callbacks may be empty.
struct StoreMeter {
  std::function<void(StoreCall, StoreStatus)> ended;
  std::function<void(const RowsChanged&)> changed;
};

/// Passes every call on. A refusal is logged with its status, once for each status until a call of
/// that kind succeeds again, so that a store that refuses everything writes a line, not thousands.
/// Not thread-safe.
class MeteredStore : public TableStore {
 public:
  MeteredStore(TableStore& store, observe::StructuredLog& log) : store_(store), log_(log) {}

  void set_meter(StoreMeter meter) { meter_ = std::move(meter); }

  net::asio::awaitable<StoreResult> transact(Transaction transaction, net::Millis timeout) override;
  net::asio::awaitable<StoreResult> read(RangeRead range, net::Millis timeout) override;
  net::asio::awaitable<StoreResult> follow(std::string table, std::int64_t after, net::Millis wait,
                                           net::Millis timeout) override;

 private:
  void note(StoreCall call, const StoreResult& result);
  void note_changes(const std::vector<RowsChanged>& changes) const;

  TableStore& store_;
  observe::StructuredLog& log_;
  StoreMeter meter_;
  /// Status that the last line about refused calls of each kind told; kDone: none since a success.
  StoreStatus logged_[3] = {StoreStatus::kDone, StoreStatus::kDone, StoreStatus::kDone};
};

}  // namespace sailgate::store
