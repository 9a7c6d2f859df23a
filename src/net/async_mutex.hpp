/// @file Mutex for coroutines that run on the same event loop.
#pragma once

#include <deque>
#include <memory>

#include "net/asio.hpp"

namespace sailgate::net {

/// Fair: waiters acquire the mutex in FIFO order. Not thread-safe.
class AsyncMutex {
 public:
  /// Releases the mutex when it goes out of scope.
  class Guard {
   public:
    explicit Guard(AsyncMutex& mutex) : mutex_(&mutex) {}
    Guard(Guard&& other) noexcept : mutex_(std::exchange(other.mutex_, nullptr)) {}
    Guard& operator=(Guard&&) = delete;
    ~Guard() {
      if (mutex_ != nullptr) mutex_->unlock();
    }

   private:
    AsyncMutex* mutex_;
  };

  explicit AsyncMutex(asio::io_context& context) : context_(context) {}

  asio::awaitable<Guard> lock() {
    if (!locked_) {
      locked_ = true;
      co_return Guard(*this);
    }
    auto waiter = std::make_shared<asio::steady_timer>(context_, TimePoint::max());
    waiters_.push_back(waiter);
    Error ignored;
    co_await waiter->async_wait(awaiting(ignored));
    co_return Guard(*this);  // unlock() transferred ownership, so locked_ is still true
  }

 private:
  void unlock() {
    if (waiters_.empty()) {
      locked_ = false;
      return;
    }
    auto next = std::move(waiters_.front());
    waiters_.pop_front();
    next->cancel();
  }

  asio::io_context& context_;
  bool locked_ = false;
  std::deque<std::shared_ptr<asio::steady_timer>> waiters_;
};

}  // namespace sailgate::net
