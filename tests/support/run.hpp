/// @file Running coroutines to their end in a test.
#pragma once

#include <exception>
#include <optional>
#include <stdexcept>

#include "net/asio.hpp"

namespace sailgate::test {

/// Runs the event loop until `done` says so. Bounded by the number of events, not by a clock.
template <typename Condition>
void run_until(net::asio::io_context& context, Condition done) {
  constexpr int kMostEvents = 200'000;
  for (int events = 0; events < kMostEvents; ++events) {
    if (done()) return;
    context.restart();
    if (context.run_one_for(std::chrono::seconds(10)) == 0) break;
  }
  if (!done()) throw std::runtime_error("the awaited state was not reached");
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
