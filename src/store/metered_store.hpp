/// @file Metrics and logging of calls to the table store.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "observe/structured_log.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// Call types, as labelled in metrics.
enum class StoreCall { kWrite, kRead, kFeed };

const char* name_of(StoreCall call);

/// Changes that a committed transaction made to one table.
struct RowsChanged {
  std::string table;
  std::int64_t rows_written = 0;
  std::int64_t rows_removed = 0;
  std::int64_t bytes_written = 0;  ///< keys and values
};

/// Metric callbacks of a metered store; each may be empty.
struct StoreMeter {
  std::function<void(StoreCall, StoreStatus)> ended;
  std::function<void(const RowsChanged&)> changed;
};

/// Forwards every call to another store. A failed call is logged when its status differs from the
/// one logged last for this call type since its last success, so that a store that refuses
/// everything produces one line instead of thousands. Not thread-safe.
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
  /// Last logged failure status by call type; kDone: none since the last successful call.
  StoreStatus logged_[3] = {StoreStatus::kDone, StoreStatus::kDone, StoreStatus::kDone};
};

}  // namespace sailgate::store
