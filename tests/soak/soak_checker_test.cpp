#include "soak/soak_checker.hpp"

#include <catch2/catch.hpp>

#include "soak/rested_callers.hpp"

using namespace sailgate;
using soak::SoakChecker;

namespace {

/// One whole turn, and a request that goes on from it.
struct Fixture {
  SoakChecker checker;

  Fixture() {
    checker.request_sent("t1", "choir", "p", "", "in1\n", true);
    run("t1", "in1\n");
    checker.turn_answered("t1", "out1\n");
    checker.request_sent("t2", "choir", "p", "t1", "in2\n", true);
  }
  void run(const std::string& id, const std::string& body) {
    checker.run_began({id, body, "choir", false}, net::Clock::now());
  }
  std::string only_violation() {
    REQUIRE(checker.violations().size() == 1);
    const auto& text = checker.violations().front();
    return text.substr(0, text.find(':'));
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a chain that is assembled right breaks no rule", "[soak]") {
  run("t2", "in1\nout1\nin2\n");
  checker.turn_answered("t2", "out2\n");
  checker.tokens_handed("choir", "p", 100, 100, 10);
  REQUIRE(checker.violations().empty());
}

TEST_CASE_METHOD(Fixture, "another body is noticed", "[soak]") {
  run("t2", "in1\nin2\n");
  REQUIRE(only_violation() == "UNASKED");
}

TEST_CASE_METHOD(Fixture, "a request nobody sent is noticed", "[soak]") {
  run("stranger", "");
  REQUIRE(only_violation() == "UNASKED");
}

TEST_CASE_METHOD(Fixture, "a second run is noticed", "[soak]") {
  run("t2", "in1\nout1\nin2\n");
  run("t2", "in1\nout1\nin2\n");
  REQUIRE(only_violation() == "TWICE");
}

TEST_CASE_METHOD(Fixture, "a promise that is broken is noticed, before and after", "[soak]") {
  checker.refused("t2", 503);
  run("t2", "in1\nout1\nin2\n");
  REQUIRE(only_violation() == "REFUSED");
  checker.refused("t2", 429);
  REQUIRE(checker.violations().size() == 2);
}

TEST_CASE_METHOD(Fixture, "a turn that is denied is noticed", "[soak]") {
  checker.refused("t2", 404);
  REQUIRE(only_violation() == "LOST");
}

TEST_CASE_METHOD(Fixture, "tokens beyond the budget are noticed", "[soak]") {
  checker.tokens_handed("choir", "p", 110, 100, 10);
  REQUIRE(checker.violations().empty());
  checker.tokens_handed("choir", "p", 1, 100, 10);
  REQUIRE(only_violation() == "BUDGET");
}

TEST_CASE_METHOD(Fixture, "an answer that nobody gave is noticed", "[soak]") {
  checker.turn_answered("t2", "out2\n");
  REQUIRE(only_violation() == "MIXED");
}

TEST_CASE_METHOD(Fixture, "a run for another tenant and a key that came through are noticed",
                 "[soak]") {
  const auto now = net::Clock::now();
  checker.run_began({"t2", "in1\nout1\nin2\n", "band", false}, now);
  REQUIRE(only_violation() == "UNASKED");
  checker.request_sent("t3", "choir", "p", "t1", "in3\n", true);
  checker.run_began({"t3", "in1\nout1\nin3\n", "choir", true}, now);
  REQUIRE(checker.violations().size() == 2);
}

TEST_CASE_METHOD(Fixture, "the same program of two tenants has two budgets", "[soak]") {
  checker.tokens_handed("choir", "p", 100, 100, 10);
  checker.tokens_handed("band", "p", 100, 100, 10);
  REQUIRE(checker.violations().empty());
}

TEST_CASE("more runs than a tenant may have in a window are noticed", "[soak]") {
  SoakChecker checker;
  checker.limit_tenant("choir", net::Millis(5000), 3);
  const auto now = net::Clock::now();
  const auto run = [&](const std::string& id, net::TimePoint at) {
    checker.request_sent(id, "choir", "", "", "in", true);
    checker.run_began({id, "in", "choir", false}, at);
  };
  run("1", now);
  run("2", now + net::Millis(4000));
  run("3", now + net::Millis(4500));
  // The first has left the window, and what was sent before it does not count.
  run("4", now + net::Millis(5100));
  REQUIRE(checker.violations().empty());
  for (const auto* id : {"5", "6", "7", "8"}) run(id, net::Clock::now());
  REQUIRE(checker.violations().size() == 1);
}

TEST_CASE("events of two software versions in one stream are a violation", "[soak]") {
  soak::SoakChecker checker;
  checker.stream_event("s-1", 1, "v1");
  checker.stream_event("s-1", 2, "v1");
  REQUIRE(checker.violations().empty());
  checker.stream_event("s-1", 3, "v2");
  REQUIRE(checker.violations().size() == 1);
}

TEST_CASE("a missing event of a resumable stream is a violation", "[soak]") {
  soak::SoakChecker checker;
  checker.stream_event("s-1", 1, "v1");
  checker.stream_event("s-1", 3, "v1");
  REQUIRE(checker.violations().size() == 1);
}

TEST_CASE("a process that returns to an older configuration is a violation", "[soak]") {
  soak::SoakChecker checker;
  checker.configuration_probed("node since 1", 3, false);
  checker.configuration_probed("node since 1", 4, true);
  checker.configuration_probed("node since 2", 4, false);
  REQUIRE(checker.violations().empty());
  checker.configuration_probed("node since 1", 4, false);
  REQUIRE(checker.violations().size() == 1);
}

TEST_CASE_METHOD(Fixture, "a request that goes on at another engine counts once against a limit",
                 "[soak]") {
  checker.limit_tenant("choir", net::Millis(5000), 1);
  checker.request_sent("s1", "choir", "", "", "in\n", false);
  run("s1", "in\n");
  run("s1", "in\n");
  REQUIRE(checker.violations().empty());
  checker.request_sent("s2", "choir", "", "", "in\n", false);
  run("s2", "in\n");
  REQUIRE(only_violation() == "QUOTA");
}

TEST_CASE_METHOD(Fixture, "a request that a node dropped is noticed", "[soak]") {
  checker.dropped("t2", "cut");
  REQUIRE(only_violation() == "LOST");
}

TEST_CASE_METHOD(Fixture, "a request to an engine that drains is noticed", "[soak]") {
  checker.sent_to_drained("e");
  REQUIRE(only_violation() == "DRAIN");
}

TEST_CASE("a stop excuses only early requests that are cut near its end", "[soak]") {
  const soak::NodeStop stop{net::TimePoint(std::chrono::hours(1)), net::Millis(6000)};
  const auto at = [&](int ms) { return stop.began + net::Millis(ms); };
  REQUIRE(soak::excuses(stop, at(2900), at(5100)));
  REQUIRE_FALSE(soak::excuses(stop, at(3100), at(5100)));
  REQUIRE_FALSE(soak::excuses(stop, at(2900), at(4900)));
}
