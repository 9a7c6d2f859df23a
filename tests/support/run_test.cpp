#include "support/run.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <string>

using namespace sailgate;
using Catch::Contains;
using test::run_until;

namespace {

/// Text of the failure of a wait that lasts until nothing happens for 20 ms or 50 events have run.
std::string failure_of(net::asio::io_context& context) {
  constexpr test::WaitBounds kBounds{50, net::Millis(20)};
  try {
    run_until(
        context, [] { return false; }, kBounds);
  } catch (const std::runtime_error& failure) {
    return failure.what();
  }
  return "";
}

}  // namespace

TEST_CASE("a wait that a busy peer uses up says so", "[support]") {
  net::asio::io_context context;
  std::function<void()> spin = [&] { net::asio::post(context, spin); };
  spin();
  const auto failure = failure_of(context);
  REQUIRE_THAT(failure, Contains("the awaited state was not reached: 50 events ran in "));
  REQUIRE_THAT(failure, Contains("all that a wait may use"));
}

TEST_CASE("a wait in which nothing happens says so", "[support]") {
  net::asio::io_context context;
  net::asio::steady_timer far(context, std::chrono::hours(1));
  far.async_wait([](const net::Error&) {});
  net::asio::post(context, [] {});
  const auto failure = failure_of(context);
  REQUIRE_THAT(failure, Contains("1 events ran in "));
  REQUIRE_THAT(failure, Contains("none in the last 20 ms"));
}

TEST_CASE("a wait with nothing left to run says so", "[support]") {
  net::asio::io_context context;
  net::asio::post(context, [] {});
  const auto failure = failure_of(context);
  REQUIRE_THAT(failure, Contains("1 events ran in "));
  REQUIRE_THAT(failure, Contains("and nothing was left to run"));
}

TEST_CASE("a state reached by the last event of a wait is reached", "[support]") {
  net::asio::io_context context;
  int events = 0;
  std::function<void()> spin = [&] {
    ++events;
    net::asio::post(context, spin);
  };
  spin();
  run_until(
      context, [&] { return events == 51; }, test::WaitBounds{50, net::Millis(20)});
  REQUIRE(events == 51);
}
