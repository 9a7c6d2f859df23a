#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "serving/turn_requests.hpp"

using namespace sailgate;
using test::events;
using test::GatewayFixture;
using test::text;
using test::turn_headers;

namespace {

/// A program that has used 30 of its 250 tokens, in turns of at most 100, during a store outage.
struct OutageFixture : GatewayFixture {
  explicit OutageFixture(bool holding = true) {
    settings.mechanisms.holding = holding;
    start();
    answer_with(3);
    REQUIRE(turn("t-1").whole);
    table.set_mode(test::MemoryTable::Mode::kRefuses);
    test::run_until(context, [this] { return !gateway->state().store.answers(); });
  }
  /// Each event counts as 10 tokens.
  void answer_with(int count) {
    engine.set_script([count](const auto& request) { return events(request, 1, count); });
  }
  test::CallerAnswer turn(const std::string& id) {
    return ask(request("POST", "/stream/x", turn_headers(id, "", "250", "100"), "in"));
  }
  static std::string retained_turn(const std::string& id, int deadline_ms) {
    const auto deadline = "Sailgate-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    return request("POST", "/turns/x", turn_headers(id, "") + deadline, "in");
  }
  /// Sends a turn and returns as soon as it is held, without waiting for the response.
  void send_turn(const std::string& id, int deadline_ms) {
    net::asio::co_spawn(
        context,
        [this, id, deadline_ms]() -> net::asio::awaitable<void> {
          answers[id] = co_await exchange(retained_turn(id, deadline_ms));
        },
        net::asio::detached);
    test::run_until(context, [&] { return logged({"turn_held", "\"id\":\"" + id + "\""}) > 0; });
  }
  void wait_for(net::Millis time) {
    const auto until = net::Clock::now() + time;
    test::run_until(context, [&] { return net::Clock::now() > until; });
  }

  std::map<std::string, test::CallerAnswer> answers;
};

/// A node with holding of turns disabled.
struct RefusingFixture : OutageFixture {
  RefusingFixture() : OutageFixture(false) {}
};

}  // namespace

TEST_CASE_METHOD(OutageFixture, "a held turn runs when the store is available again",
                 "[serving][outage]") {
  send_turn("t-2", 2000);
  wait_for(net::Millis(300));
  REQUIRE(engine.requests().size() == 1);
  REQUIRE(gateway->state().held_turns.count() == 1);
  table.set_mode(test::MemoryTable::Mode::kUp);
  test::run_until(context, [this] { return answers.count("t-2") > 0; });
  REQUIRE(answers.at("t-2").whole);
  REQUIRE(answers.at("t-2").status == 200);
  REQUIRE(engine.requests().size() == 2);
  REQUIRE(gateway->state().held_turns.count() == 0);
  REQUIRE(logged({"held_turn_ended", "\"id\":\"t-2\"", "\"how\":\"begun\""}) == 1);
}

TEST_CASE_METHOD(OutageFixture, "a held turn is refused before its caller gives up",
                 "[serving][outage]") {
  const auto began = net::Clock::now();
  const auto got = ask(retained_turn("t-2", 1500));
  const auto waited = net::Clock::now() - began;
  REQUIRE(got.status == 503);
  REQUIRE(got.head.count(net::http::field::retry_after) == 1);
  REQUIRE(waited < net::Millis(1500));
  REQUIRE(waited > net::Millis(900));
  REQUIRE(engine.requests().size() == 1);
  REQUIRE(logged({"refused_for_store", "\"id\":\"t-2\"", "\"why\":\"in_vain\""}) == 1);
}

TEST_CASE_METHOD(OutageFixture, "a turn without time to wait for the store is refused immediately",
                 "[serving][outage]") {
  const auto began = net::Clock::now();
  const auto got = ask(retained_turn("t-2", 400));
  REQUIRE(got.status == 503);
  REQUIRE(net::Clock::now() - began < net::Millis(200));
  REQUIRE(engine.requests().size() == 1);
  // Callers honour a Retry-After of at most a third of their remaining time.
  REQUIRE(std::stod(text(got.head[net::http::field::retry_after])) <= 0.134);
  REQUIRE(logged({"refused_for_store", "\"why\":\"outage_too_long\""}) == 1);
}

TEST_CASE_METHOD(OutageFixture, "a held turn whose caller disconnected never runs",
                 "[serving][outage]") {
  {
    net::asio::ip::tcp::socket socket(context);
    socket.connect(settings.callers);
    net::asio::write(socket, net::asio::buffer(retained_turn("t-2", 2000)));
    test::run_until(context, [this] { return gateway->state().held_turns.count() == 1; });
  }
  test::run_until(context, [this] { return gateway->state().held_turns.count() == 0; });
  table.set_mode(test::MemoryTable::Mode::kUp);
  test::run_until(context, [this] { return gateway->state().store.answers(); });
  wait_for(net::Millis(200));
  REQUIRE(engine.requests().size() == 1);
  REQUIRE(logged({"held_turn_ended", "\"how\":\"caller_gone\""}) == 1);
  REQUIRE(gateway->state().active_requests == 0);
}

TEST_CASE_METHOD(OutageFixture, "a planned stop refuses held turns immediately",
                 "[serving][outage]") {
  send_turn("t-2", 2000);
  send_turn("t-3", 2000);
  const auto began = net::Clock::now();
  gateway->stop();
  test::run_until(context, [this] { return answers.size() == 2; });
  REQUIRE(net::Clock::now() - began < net::Millis(300));
  for (const auto& [id, got] : answers) {
    CAPTURE(id);
    REQUIRE(got.status == 503);
    REQUIRE(got.whole);
  }
  REQUIRE(engine.requests().size() == 1);
}

TEST_CASE_METHOD(OutageFixture, "held turns start in order of least time left",
                 "[serving][outage]") {
  send_turn("t-2", 2000);
  send_turn("t-3", 1500);
  send_turn("t-4", 1800);
  table.set_mode(test::MemoryTable::Mode::kUp);
  test::run_until(context, [this] { return answers.size() == 3; });
  std::vector<std::string> order;
  for (const auto& request : engine.requests()) {
    order.push_back(text(request["Sailgate-Request-Id"]));
  }
  REQUIRE(order == std::vector<std::string>{"t-1", "t-3", "t-4", "t-2"});
}

TEST_CASE_METHOD(RefusingFixture,
                 "with holding disabled, a turn that cannot be made durable is refused immediately",
                 "[serving]") {
  const auto began = net::Clock::now();
  const auto got = ask(request("POST", "/turns/x", turn_headers("t-2", ""), "in"));
  REQUIRE(got.status == 503);
  // Guards against holding the turn for the full wait of 900 ms for a slow store.
  REQUIRE(net::Clock::now() - began < net::Millis(450));
  REQUIRE(engine.requests().size() == 1);
  // Callers honour a Retry-After of at most a third of their remaining time, which is 2 s here.
  const auto back = std::stod(text(got.head[net::http::field::retry_after]));
  REQUIRE(back > 0.3);
  REQUIRE(back <= 0.667);
  REQUIRE(logged({"refused_for_store", "\"id\":\"t-2\"", "expected_outage_ms"}) == 1);
}

TEST_CASE_METHOD(RefusingFixture, "during a store outage no stream is cut for lack of tokens",
                 "[serving][escrow]") {
  answer_with(GENERATE(4, 8, 10));
  auto got = turn("t-2");
  // Tokens run out before the budget of 250 does.
  for (int i = 3; got.status == 200 && i < 25; ++i) {
    REQUIRE(got.whole);
    got = turn("t-" + std::to_string(i));
  }
  const auto asked = engine.requests().size();
  const auto writes = table.writes_of("budgets");
  REQUIRE(got.status == 503);
  REQUIRE(turn("t-25").status == 503);
  REQUIRE(got.whole);
  REQUIRE(got.head.count(net::http::field::retry_after) == 1);
  REQUIRE(engine.requests().size() == asked);
  // Refused at once, not after attempts to reach the store.
  REQUIRE(table.writes_of("budgets") == writes);
}

TEST_CASE_METHOD(RefusingFixture, "during a store outage a program takes its next turn",
                 "[serving][escrow]") {
  answer_with(10);
  const auto got = turn("t-2");
  REQUIRE(got.status == 200);
  REQUIRE(got.whole);
}

TEST_CASE_METHOD(OutageFixture, "a turn without tokens waits for a store that may be back in time",
                 "[serving][outage][escrow]") {
  answer_with(10);
  for (int i = 2; i < 5; ++i) {
    const auto id = "t-" + std::to_string(i);
    net::asio::co_spawn(
        context,
        [this, id]() -> net::asio::awaitable<void> {
          const auto headers = turn_headers(id, "", "400", "100");
          answers[id] = co_await exchange(request("POST", "/stream/x", headers, "in"));
        },
        net::asio::detached);
    test::run_until(
        context, [&] { return answers.count(id) > 0 || gateway->state().held_turns.count() > 0; });
    if (answers.count(id) > 0) REQUIRE(answers.at(id).whole);
  }
  REQUIRE(gateway->state().held_turns.count() > 0);
  table.set_mode(test::MemoryTable::Mode::kUp);
  test::run_until(context, [this] { return answers.size() == 3; });
  for (const auto& [id, got] : answers) {
    CAPTURE(id);
    REQUIRE(got.status == 200);
    REQUIRE(got.whole);
  }
}
