/// @file Detects whether the store has capacity for further rows.
#pragma once

#include "store/table_store.hpp"

namespace sailgate::store {

/// Derived from the results of writes. Deterministic, not thread-safe.
class SpaceMonitor {
 public:
  /// Records the result of a transaction. @param puts_rows whether it wrote rows rather than only
  /// removing some. @return whether full() changed.
  bool note(StoreStatus status, bool puts_rows) {
    const bool before = full_;
    if (status == StoreStatus::kFull) full_ = true;
    if (status == StoreStatus::kDone && puts_rows) full_ = false;
    return full_ != before;
  }
  /// Whether the store rejected a write for lack of space and has accepted no row since.
  bool full() const { return full_; }

 private:
  bool full_ = false;
};

}  // namespace sailgate::store
