/// @file Synchronous interface to the table store.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "store/table_store.hpp"

namespace sailgate::store {

/// Runs a TableStore on a dedicated event-loop thread. Thread-safe; each call blocks its thread
/// until the result arrives or the timeout expires.
class BlockingStore {
 public:
  using Factory = std::function<std::unique_ptr<TableStore>(net::asio::io_context&)>;

  /// @param factory creates the store, whose calls then run on the event-loop thread.
  explicit BlockingStore(const Factory& factory);
  BlockingStore(const BlockingStore&) = delete;
  BlockingStore& operator=(const BlockingStore&) = delete;
  ~BlockingStore();

  StoreResult transact(Transaction transaction, net::Millis timeout);
  StoreResult read(RangeRead range, net::Millis timeout);

 private:
  StoreResult wait_for(net::asio::awaitable<StoreResult> call);

  net::asio::io_context context_;
  net::asio::executor_work_guard<net::asio::io_context::executor_type> work_;
  std::unique_ptr<TableStore> store_;
  std::thread loop_;
};

}  // namespace sailgate::store
