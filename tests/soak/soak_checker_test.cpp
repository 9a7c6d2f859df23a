#include "soak/soak_checker.hpp"

#include <catch2/catch.hpp>

using sailgate::soak::SoakChecker;

namespace {

/// One whole turn, and a request that goes on from it.
struct Fixture {
  SoakChecker checker;

  Fixture() {
    checker.request_sent("t1", "p", "", "in1\n", true);
    checker.run_began("t1", "in1\n");
    checker.turn_answered("t1", "out1\n");
    checker.request_sent("t2", "p", "t1", "in2\n", true);
  }
  std::string only_violation() {
    REQUIRE(checker.violations().size() == 1);
    const auto& text = checker.violations().front();
    return text.substr(0, text.find(':'));
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a chain that is assembled right breaks no rule", "[soak]") {
  checker.run_began("t2", "in1\nout1\nin2\n");
  checker.turn_answered("t2", "out2\n");
  checker.tokens_handed("p", 100, 100, 10);
  REQUIRE(checker.violations().empty());
}

TEST_CASE_METHOD(Fixture, "another body is noticed", "[soak]") {
  checker.run_began("t2", "in1\nin2\n");
  REQUIRE(only_violation() == "UNASKED");
}

TEST_CASE_METHOD(Fixture, "a request nobody sent is noticed", "[soak]") {
  checker.run_began("stranger", "");
  REQUIRE(only_violation() == "UNASKED");
}

TEST_CASE_METHOD(Fixture, "a second run is noticed", "[soak]") {
  checker.run_began("t2", "in1\nout1\nin2\n");
  checker.run_began("t2", "in1\nout1\nin2\n");
  REQUIRE(only_violation() == "TWICE");
}

TEST_CASE_METHOD(Fixture, "a promise that is broken is noticed, before and after", "[soak]") {
  checker.refused("t2", 503);
  checker.run_began("t2", "in1\nout1\nin2\n");
  REQUIRE(only_violation() == "REFUSED");
  checker.refused("t2", 429);
  REQUIRE(checker.violations().size() == 2);
}

TEST_CASE_METHOD(Fixture, "a turn that is denied is noticed", "[soak]") {
  checker.refused("t2", 404);
  REQUIRE(only_violation() == "LOST");
}

TEST_CASE_METHOD(Fixture, "tokens beyond the budget are noticed", "[soak]") {
  checker.tokens_handed("p", 110, 100, 10);
  REQUIRE(checker.violations().empty());
  checker.tokens_handed("p", 1, 100, 10);
  REQUIRE(only_violation() == "BUDGET");
}

TEST_CASE_METHOD(Fixture, "an answer that nobody gave is noticed", "[soak]") {
  checker.turn_answered("t2", "out2\n");
  REQUIRE(only_violation() == "MIXED");
}
