#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::EngineReply;
using test::event_chunk;
using test::FakeEngine;
using test::GatewayFixture;
using test::kLastChunk;
using test::run_until;
using test::stream_head;

namespace {

constexpr net::Millis kTimeToSpread{300};
constexpr int kEvents = 6;

std::string text(net::beast::string_view view) { return {view.data(), view.size()}; }

/// A route that is both retained and resumable, with an engine that breaks streams off as told.
struct Fixture : GatewayFixture {
  std::map<std::string, std::string> bodies;  ///< at the engine, by request id
  int events_per_attempt = kEvents;

  Fixture() { engine.set_script(script()); }

  FakeEngine::Script script() {
    return [this](const auto& request) {
      const auto id = text(request["Sailgate-Request-Id"]);
      bodies[id] = request.body();
      const auto after = text(request["Last-Event-Id"]);
      const int first = after.empty() ? 1 : std::stoi(after) + 1;
      const int last = std::min(kEvents, first + events_per_attempt - 1);
      auto bytes = stream_head(request);
      for (int event = first; event <= last; ++event) {
        bytes += event_chunk(event, id + "." + std::to_string(event));
      }
      if (last < kEvents) return EngineReply{bytes, true};
      return EngineReply{bytes + kLastChunk};
    };
  }

  /// @param resuming whether the node itself goes on after a break; otherwise it reaches the
  /// caller.
  void start_with_route(bool resuming = false) {
    put_configuration(1, "," + route("/both/", "stream", R"(,"retained":true,"resumable":true)"));
    settings.mechanisms.resuming = resuming;
    put_engine("e-1", engine);
    start_unconfigured();
    run_until(context, [this] { return gateway->ready(); });
  }

  static std::string turn(const std::string& id, const std::string& previous, int after,
                          const std::string& input, const std::string& line = "l",
                          const std::string& more = "") {
    std::string headers = "Sailgate-Request-Id: " + id +
                          "\r\nSailgate-Program: p\r\nSailgate-Session: " + line + "\r\n" + more;
    if (!previous.empty()) headers += "Sailgate-Prev-Turn: " + previous + "\r\n";
    if (after > 0) headers += "Last-Event-Id: " + std::to_string(after) + "\r\n";
    return request("POST", "/both/x", headers, input);
  }

  /// Data of these events of an attempt, as part of a prompt.
  static std::string output(const std::string& id, int first, int last) {
    std::string data;
    for (int event = first; event <= last; ++event) {
      data += id + "." + std::to_string(event) + "\n";
    }
    return data;
  }

  void spread() {
    context.restart();
    context.run_for(kTimeToSpread);
  }
};

struct TwoNodes : Fixture {
  serving::NodeSettings second_settings = make_settings();
  std::unique_ptr<serving::Gateway> second;

  void start_second() {
    second_settings.node = "node-2";
    second_settings.mechanisms.resuming = false;
    second = GatewayFixture::start_second(second_settings);
  }

  /// Sends the caller's further requests to the other node.
  void use_second() { settings.callers = second_settings.callers; }
};

}  // namespace

// A turn that its caller resumed was kept with the events of the last attempt alone.
TEST_CASE_METHOD(Fixture, "a resumed turn is kept with the events of its earlier attempts",
                 "[serving]") {
  start_with_route();
  events_per_attempt = GENERATE(2, 3);
  REQUIRE_FALSE(ask(turn("a", "", 0, "in.")).whole);
  std::string expected = "in." + output("a", 1, events_per_attempt);
  std::string last;
  for (int after = events_per_attempt; after < kEvents; after += events_per_attempt) {
    last = "b" + std::to_string(after);
    const bool ends = after + events_per_attempt >= kEvents;
    REQUIRE(ask(turn(last, "", after, "in.")).whole == ends);
    expected += output(last, after + 1, after + events_per_attempt);
  }
  events_per_attempt = kEvents;
  REQUIRE(ask(turn("next", last, 0, "more.")).whole);
  REQUIRE(bodies["next"] == expected + "more.");
}

TEST_CASE_METHOD(Fixture, "a caller that has fewer events than the node sent gets the others again",
                 "[serving]") {
  start_with_route();
  events_per_attempt = 4;
  REQUIRE_FALSE(ask(turn("a", "", 0, "in.")).whole);
  events_per_attempt = kEvents;
  REQUIRE(ask(turn("b", "", 2, "in.")).whole);
  REQUIRE(ask(turn("next", "b", 0, "more.")).whole);
  REQUIRE(bodies["next"] == "in." + output("a", 1, 2) + output("b", 3, kEvents) + "more.");
}

TEST_CASE_METHOD(Fixture, "a turn that the node itself resumed is kept with all of its events",
                 "[serving]") {
  put_engine("e-2", other);
  other.set_script(script());
  start_with_route(true);
  run_until(context, [this] { return gateway->state().engines.size() == 2; });
  events_per_attempt = 3;
  REQUIRE(ask(turn("a", "", 0, "in.")).whole);
  // The caller's connection broke at the end: it lacks the last event.
  REQUIRE(ask(turn("b", "", kEvents - 1, "in.")).whole);
  REQUIRE(ask(turn("next", "b", 0, "more.")).whole);
  REQUIRE(bodies["next"] ==
          "in." + output("a", 1, kEvents - 1) + output("b", kEvents, kEvents) + "more.");
}

TEST_CASE_METHOD(Fixture, "a turn that was begun anew is resumed with its new events",
                 "[serving]") {
  start_with_route();
  events_per_attempt = 3;
  REQUIRE_FALSE(ask(turn("a", "", 0, "in.")).whole);
  REQUIRE_FALSE(ask(turn("anew", "", 0, "in.")).whole);
  events_per_attempt = kEvents;
  REQUIRE(ask(turn("b", "", 3, "in.")).whole);
  REQUIRE(ask(turn("next", "b", 0, "more.")).whole);
  REQUIRE(bodies["next"] == "in." + output("anew", 1, 3) + output("b", 4, kEvents) + "more.");
}

TEST_CASE_METHOD(Fixture, "a resumption after an event that no node knows is refused",
                 "[serving]") {
  start_with_route();
  events_per_attempt = 3;
  REQUIRE_FALSE(ask(turn("a", "", 0, "in.")).whole);
  const auto requests = engine.requests().size();
  const auto refused = [&](const std::string& bytes) {
    const auto got = ask(bytes);
    return got.status == 503 && got.whole && engine.requests().size() == requests;
  };
  REQUIRE(refused(turn("b", "", 5, "in.")));
  REQUIRE(refused(turn("b", "", 3, "other input.")));
  REQUIRE(refused(turn("b", "", 3, "in.", "another line")));
  // Begun anew, it is served.
  events_per_attempt = kEvents;
  REQUIRE(ask(turn("c", "", 0, "in.")).whole);
}

TEST_CASE_METHOD(Fixture, "the same input of two lines is resumed by itself", "[serving]") {
  start_with_route();
  events_per_attempt = 3;
  REQUIRE_FALSE(ask(turn("a1", "", 0, "in.", "l1")).whole);
  REQUIRE_FALSE(ask(turn("a2", "", 0, "in.", "l2")).whole);
  events_per_attempt = kEvents;
  REQUIRE(ask(turn("b1", "", 3, "in.", "l1")).whole);
  REQUIRE(ask(turn("next", "b1", 0, "more.", "l1")).whole);
  REQUIRE(bodies["next"] == "in." + output("a1", 1, 3) + output("b1", 4, kEvents) + "more.");
}

TEST_CASE_METHOD(TwoNodes, "a turn resumed at another node is kept with all of its events",
                 "[serving]") {
  start_with_route();
  start_second();
  events_per_attempt = 2;
  REQUIRE_FALSE(ask(turn("a", "", 0, "in.")).whole);
  spread();
  const auto first_callers = settings.callers;
  use_second();
  REQUIRE_FALSE(ask(turn("b", "", 2, "in.")).whole);
  spread();
  const bool back_at_first = GENERATE(true, false);
  if (back_at_first) settings.callers = first_callers;
  events_per_attempt = kEvents;
  REQUIRE(ask(turn("c", "", 4, "in.")).whole);
  use_second();
  REQUIRE(ask(turn("next", "c", 0, "more.")).whole);
  REQUIRE(bodies["next"] ==
          "in." + output("a", 1, 2) + output("b", 3, 4) + output("c", 5, kEvents) + "more.");
}

TEST_CASE_METHOD(TwoNodes, "a node that lost the beginning of a turn gets it again", "[serving]") {
  start_with_route();
  start_second();
  auto& here = gateway->state().turn_progress;
  auto& there = second->state().turn_progress;
  wire::TurnEvent event;
  event.id = "1";
  event.data = "d";
  const auto attempt = here.begin("turn", "a", 1, {{event}, 0});
  spread();
  REQUIRE(there.turns() == 1);
  there.expire(net::Clock::now() + std::chrono::hours(1));
  REQUIRE(there.turns() == 0);
  REQUIRE(there.bytes() == 0);
  event.id = "2";
  here.append(attempt, {event});
  spread();
  const auto found =
      test::run(context, there.find("turn", "2", net::Clock::now() + std::chrono::seconds(1)));
  REQUIRE(found.has_value());
  REQUIRE(found->events.size() == 2);
}

TEST_CASE_METHOD(Fixture, "the events that a node keeps are bounded", "[serving]") {
  start_with_route();
  auto& progress = gateway->state().turn_progress;
  wire::TurnEvent event;
  event.id = "1";
  event.data = std::string(1U << 20U, 'x');
  for (int i = 0; i < 40; ++i) progress.begin("turn " + std::to_string(i), "a", 1, {{event}, 0});
  REQUIRE(progress.bytes() <= std::size_t{16} << 20U);
  for (int i = 0; i < 40; ++i) progress.begin("turn", "a" + std::to_string(i), i, {{event}, 0});
  REQUIRE(progress.bytes() <= std::size_t{16} << 20U);
  REQUIRE(test::run(context, progress.find("turn", "1", net::Clock::now())).has_value());
}
