#include "store/blocking_store.hpp"

#include <future>

namespace sailgate::store {

BlockingStore::BlockingStore(const Factory& factory)
    : work_(context_.get_executor()),
      store_(factory(context_)),
      loop_([this] { context_.run(); }) {}

BlockingStore::~BlockingStore() {
  context_.stop();
  loop_.join();
}

StoreResult BlockingStore::wait_for(net::asio::awaitable<StoreResult> call) {
  auto promise = std::make_shared<std::promise<StoreResult>>();
  auto result = promise->get_future();
  net::asio::co_spawn(context_, std::move(call),
                      [promise](const std::exception_ptr& error, StoreResult value) {
                        if (error) value = StoreResult{};
                        promise->set_value(std::move(value));
                      });
  return result.get();
}

StoreResult BlockingStore::transact(Transaction transaction, net::Millis timeout) {
  return wait_for(store_->transact(std::move(transaction), timeout));
}

StoreResult BlockingStore::read(RangeRead range, net::Millis timeout) {
  return wait_for(store_->read(std::move(range), timeout));
}

}  // namespace sailgate::store
