/// @file Mutual exclusion between coroutines of one event loop.
#pragma once

#include <deque>
#include <memory>

#include "net/asio.hpp"

namespace sailgate::net {

/// First come, first served. Not for threads.
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
    auto turn = std::make_shared<asio::steady_timer>(context_, TimePoint::max());
    waiting_.push_back(turn);
    Error ignored;
    co_await turn->async_wait(awaiting(ignored));
    co_return Guard(*this);  // unlock() handed the lock over
  }

 private:
  void unlock() {
    if (waiting_.empty()) {
      locked_ = false;
      return;
    }
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    next->cancel();
  }

  asio::io_context& context_;
  bool locked_ = false;
  std::deque<std::shared_ptr<asio::steady_timer>> waiting_;
};

}  // namespace sailgate::net
