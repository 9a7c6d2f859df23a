/// @file Whether the store has space for further rows.
#pragma once

#include "store/table_store.hpp"

namespace sailgate::store {

/// Goes by how writes end. Deterministic, not thread-safe.
class SpaceMonitor {
 public:
  /// A transaction ended. @param puts_rows it wrote rows, not only removed some.
  /// @return whether full() changed.
  bool note(StoreStatus status, bool puts_rows) {
    const bool before = full_;
    if (status == StoreStatus::kFull) full_ = true;
    if (status == StoreStatus::kDone && puts_rows) full_ = false;
    return full_ != before;
  }
  /// The last write of rows that the store decided on was refused for want of space.
  bool full() const { return full_; }

 private:
  bool full_ = false;
};

}  // namespace sailgate::store
