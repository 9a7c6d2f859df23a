/// @file A linearizable, durable table store with conditional transactions and change feeds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/asio.hpp"

namespace sailgate::store {

/// Identity of a row. Writes within a partition (`part`) are serialized; partitions are
/// independent.
struct RowId {
  std::string table;
  std::string part;
  std::string key;
};

struct Row {
  RowId id;
  std::string value;         ///< raw bytes
  std::int64_t version = 0;  ///< version of the transaction that wrote the row
  bool removed = false;      ///< feeds only: the row was removed
};

/// Precondition: the row has this version; 0: it does not exist.
struct RowCondition {
  RowId id;
  std::int64_t version = 0;
};

/// Atomic; all entries are in the same partition.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<Row> puts;
  std::vector<RowId> removals;
};

enum class StoreStatus {
  kDone,
  kConflict,     ///< a condition did not hold; not executed
  kRefused,      ///< not executed, may be retried
  kUnknown,      ///< no response: may have been executed, or may still be
  kHistoryLost,  ///< feeds only: the change history is incomplete, read the whole table
  kFull,         ///< not executed: the store is out of space
  kThrottled,    ///< not executed: the store's request rate limit is exceeded
};

/// Stable name, for logs and metrics.
const char* name_of(StoreStatus status);

/// The store processed the call and reported the outcome.
inline bool answered(StoreStatus status) {
  return status == StoreStatus::kDone || status == StoreStatus::kConflict;
}

/// The call reached a working store. This includes a full store: it rejects writes from every node,
/// so that sending the call over another route would not help.
inline bool reached(StoreStatus status) {
  return answered(status) || status == StoreStatus::kHistoryLost || status == StoreStatus::kFull;
}

/// The call was not executed, or its outcome is unknown.
inline bool failed(StoreStatus status) {
  return status == StoreStatus::kRefused || status == StoreStatus::kUnknown ||
         status == StoreStatus::kFull || status == StoreStatus::kThrottled;
}

struct StoreResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<Row> rows;     ///< rows read; on kConflict the current rows of the conditions
  std::int64_t version = 0;  ///< latest version of the store
  bool more = false;         ///< reads: the range has further rows
  std::int64_t now_ms = 0;   ///< the store's steady clock; 0: not reported
};

/// Range of keys in one partition of a table.
struct RangeRead {
  std::string table;
  std::string part;
  std::string from_key;  ///< inclusive; empty: from the first key
  std::string to_key;    ///< exclusive; empty: to the last key
  int limit = 500;
};

/// Client interface of the store. Every call ends within its timeout and never throws.
class TableStore {
 public:
  virtual ~TableStore() = default;
  virtual net::asio::awaitable<StoreResult> transact(Transaction transaction,
                                                     net::Millis timeout) = 0;
  virtual net::asio::awaitable<StoreResult> read(RangeRead range, net::Millis timeout) = 0;
  /// Changes of `table` after version `after`. Long poll: waits up to `wait` for the first change.
  virtual net::asio::awaitable<StoreResult> follow(std::string table, std::int64_t after,
                                                   net::Millis wait, net::Millis timeout) = 0;
};

}  // namespace sailgate::store
