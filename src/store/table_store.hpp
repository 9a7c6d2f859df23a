/// @file A linearizable, durable table store with conditional transactions and change feeds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/asio.hpp"

namespace sailgate::store {

/// Identity of a row. Rows of one part are written in turn; parts do not disturb each other.
struct RowId {
  std::string table;
  std::string part;
  std::string key;
};

struct Row {
  RowId id;
  std::string value;         ///< raw bytes
  std::int64_t version = 0;  ///< of the transaction that wrote it
  bool removed = false;      ///< in feeds: the row is gone
};

/// The row must have this version; 0: it must not exist.
struct RowCondition {
  RowId id;
  std::int64_t version = 0;
};

/// All or nothing; all entries have one part.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<Row> puts;
  std::vector<RowId> removals;
};

enum class StoreStatus {
  kDone,
  kConflict,     ///< a condition did not hold; nothing was done
  kRefused,      ///< nothing was done, may be tried again
  kUnknown,      ///< no answer: it may have been done, or may be done later
  kHistoryLost,  ///< feeds only: read the table whole
  kFull,         ///< nothing was done: the store keeps as much as it can
  kThrottled,    ///< nothing was done: more calls a second than the store takes
};

/// Stable name, for logs and metrics.
const char* name_of(StoreStatus status);

/// The store took the call and said what it did.
inline bool answered(StoreStatus status) {
  return status == StoreStatus::kDone || status == StoreStatus::kConflict;
}

/// The store took notice of the call: it is there, and within this node's reach. One that is full
/// answers everybody alike, so that another way to it helps nobody.
inline bool reached(StoreStatus status) {
  return answered(status) || status == StoreStatus::kHistoryLost || status == StoreStatus::kFull;
}

/// Nothing, or nothing that is known, was done.
inline bool failed(StoreStatus status) {
  return status == StoreStatus::kRefused || status == StoreStatus::kUnknown ||
         status == StoreStatus::kFull || status == StoreStatus::kThrottled;
}

struct StoreResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<Row> rows;     ///< what was read; on kConflict the condition rows as they are
  std::int64_t version = 0;  ///< newest version the store had
  bool more = false;         ///< reads: rows beyond these exist
  std::int64_t now_ms = 0;   ///< the store's steady clock; 0: not told
};

/// Range of keys in one part of a table.
struct RangeRead {
  std::string table;
  std::string part;
  std::string from_key;  ///< inclusive; empty: from the start
  std::string to_key;    ///< exclusive; empty: to the end
  int limit = 500;
};

/// Client side of the store. All calls end within their timeout and never throw.
class TableStore {
 public:
  virtual ~TableStore() = default;
  virtual net::asio::awaitable<StoreResult> transact(Transaction transaction,
                                                     net::Millis timeout) = 0;
  virtual net::asio::awaitable<StoreResult> read(RangeRead range, net::Millis timeout) = 0;
  /// Changes of `table` after version `after`; waits up to `wait` for one.
  virtual net::asio::awaitable<StoreResult> follow(std::string table, std::int64_t after,
                                                   net::Millis wait, net::Millis timeout) = 0;
};

}  // namespace sailgate::store
