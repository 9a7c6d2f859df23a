/// @file Running coroutines to their end in a test.
#pragma once

#include <chrono>
#include <exception>
#include <optional>

#include "net/asio.hpp"

namespace sailgate::test {

/// How long a test waits for a state. A peer that never pauses uses up the events in an instant.
struct WaitBounds {
  int events = 200'000;
  std::chrono::milliseconds without_event{10'000};
};

/// Why a wait ended before the awaited state was reached.
enum class WaitEnd {
  kEventsUsedUp,
  kNoEvent,     ///< for as long as the test waits for one
  kNothingLeft  ///< that the event loop could run
};

/// One wait for a state: runs the event loop and counts what it runs.
class Wait {
 public:
  Wait(net::asio::io_context& context, WaitBounds bounds) : context_(context), bounds_(bounds) {}

  /// Runs one event. @return false when the wait is over.
  bool step();
  /// @throws std::runtime_error that says how the wait ended.
  [[noreturn]] void fail() const;

 private:
  net::asio::io_context& context_;
  WaitBounds bounds_;
  net::TimePoint start_ = net::Clock::now();
  int events_ = 0;
  WaitEnd end_ = WaitEnd::kEventsUsedUp;
};

/// Runs the event loop until `done` says so. Bounded by the number of events, not by a clock.
template <typename Condition>
void run_until(net::asio::io_context& context, Condition done, WaitBounds bounds = {}) {
  Wait wait(context, bounds);
  while (!done()) {
    if (wait.step()) continue;
    if (!done()) wait.fail();
    return;
  }
}

/// Result of a coroutine.
template <typename Value>
Value run(net::asio::io_context& context, net::asio::awaitable<Value> task) {
  std::optional<Value> result;
  std::exception_ptr failure;
  net::asio::co_spawn(context, std::move(task), [&](std::exception_ptr error, Value value) {
    failure = error;
    result = std::move(value);
  });
  run_until(context, [&] { return result.has_value(); });
  if (failure) std::rethrow_exception(failure);
  return std::move(*result);
}

}  // namespace sailgate::test
