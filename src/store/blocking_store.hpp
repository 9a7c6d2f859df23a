/// @file The table store for code that runs on threads.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "store/table_store.hpp"

namespace sailgate::store {

/// Runs a TableStore on an event loop of its own. Thread-safe; calls block their thread until they
/// end, within their timeout.
class BlockingStore {
 public:
  using Factory = std::function<std::unique_ptr<TableStore>(net::asio::io_context&)>;

  /// @param factory makes the store; its calls are made on the loop's thread.
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
