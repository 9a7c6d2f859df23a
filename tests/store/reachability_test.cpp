#include "store/reachability.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;

namespace {

net::TimePoint at(int milliseconds) { return net::TimePoint(net::Millis(milliseconds)); }

}  // namespace

TEST_CASE("a store that responds intermittently is reachable", "[store]") {
  store::Reachability reachability;
  for (int i = 0; i < 100; ++i) {
    reachability.note(i % 3 == 0, at(100 * i));
    REQUIRE(reachability.answers(at(100 * i)));
  }
}

TEST_CASE("a store is unreachable after several failures over a minimum time", "[store]") {
  store::Reachability reachability;
  for (int i = 0; i < 10; ++i) reachability.note(false, at(0));
  REQUIRE(reachability.answers(at(10)));
  REQUIRE_FALSE(reachability.answers(at(1000)));
  reachability.note(true, at(1001));
  REQUIRE(reachability.answers(at(1001)));
}

TEST_CASE("an outage is expected to last as long as the previous ones", "[store]") {
  store::Reachability reachability;
  const auto outage = [&](int from, int to) {
    for (int time = from; time < to; time += 100) reachability.note(false, at(time));
    reachability.note(true, at(to));
  };
  REQUIRE(reachability.expected_outage(at(0)) == net::Millis(0));
  outage(0, 6000);
  outage(10'000, 14'000);
  REQUIRE(reachability.expected_outage(at(14'000)) == net::Millis(0));
  for (int time = 20'000; time <= 21'000; time += 100) reachability.note(false, at(time));
  // Mean of two outages of 6 and 4 s and the prior of 2 s, less the 1 s that has elapsed.
  REQUIRE(reachability.expected_outage(at(21'000)) == net::Millis(3000));
}

TEST_CASE("an outage longer than the previous ones is expected to last as long again", "[store]") {
  store::Reachability reachability;
  for (int time = 0; time <= 5000; time += 100) reachability.note(false, at(time));
  REQUIRE(reachability.expected_outage(at(5000)) == net::Millis(5000));
}
