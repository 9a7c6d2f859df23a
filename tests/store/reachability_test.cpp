#include "store/reachability.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;

namespace {

net::TimePoint at(int milliseconds) { return net::TimePoint(net::Millis(milliseconds)); }

}  // namespace

TEST_CASE("a store that answers now and then is reachable", "[store]") {
  store::Reachability reachability;
  for (int i = 0; i < 100; ++i) {
    reachability.note(i % 3 == 0, at(100 * i));
    REQUIRE(reachability.answers(at(100 * i)));
  }
}

TEST_CASE("a store is taken for unreachable after several failures over some time", "[store]") {
  store::Reachability reachability;
  for (int i = 0; i < 10; ++i) reachability.note(false, at(0));
  REQUIRE(reachability.answers(at(10)));
  REQUIRE_FALSE(reachability.answers(at(1000)));
  reachability.note(true, at(1001));
  REQUIRE(reachability.answers(at(1001)));
}
