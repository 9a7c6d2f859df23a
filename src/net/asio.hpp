/// @file Includes and aliases for Boost.Asio and Boost.Beast. A single thread runs the event loop,
/// so code that runs on it needs no locks.
#pragma once

// NOTE: Boost 1.74 with GCC 12 needs <utility> before asio's coroutine support.
#include <utility>
// clang-format off
#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
// clang-format on
#include <chrono>

namespace sailgate::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using TimePoint = Clock::time_point;
using Error = boost::system::error_code;
using Endpoint = asio::ip::tcp::endpoint;

// NOTE: GCC 12 destroys brace-initialized temporaries in a co_await expression twice. Pass named
// variables with std::move to awaited functions instead.

/// Completion token: the awaited operation stores its error in `error` instead of throwing.
inline auto awaiting(Error& error) { return asio::redirect_error(asio::use_awaitable, error); }

/// Suspends the calling coroutine for `duration`.
inline asio::awaitable<void> sleep_for(asio::io_context& context, Millis duration) {
  asio::steady_timer timer(context, duration);
  Error ignored;
  co_await timer.async_wait(awaiting(ignored));
}

/// Suspends the calling coroutine until `time`.
inline asio::awaitable<void> sleep_until(asio::io_context& context, TimePoint time) {
  asio::steady_timer timer(context, time);
  Error ignored;
  co_await timer.async_wait(awaiting(ignored));
}

}  // namespace sailgate::net
