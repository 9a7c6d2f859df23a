#include "readiness/readiness.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace sailgate;
using net::Millis;
using readiness::decide;
using readiness::PeerGroupView;
using readiness::ReadinessView;
using readiness::Reason;

namespace {

PeerGroupView peers(int known, int heard, int reach_store, Millis last_heard, int aside = 0) {
  PeerGroupView nodes;
  nodes.known = known;
  nodes.heard = heard;
  nodes.reach_store = reach_store;
  nodes.last_heard_age = last_heard;
  nodes.step_aside = aside;
  return nodes;
}

ReadinessView view(int failures, Millis unanswered, PeerGroupView own, PeerGroupView others) {
  ReadinessView result;
  result.store_failures = failures;
  result.store_unanswered = unanswered;
  result.own_zone = own;
  result.other_zones = others;
  return result;
}

PeerGroupView random_peers() {
  const int known = *rc::gen::inRange(0, 90);
  const int heard = *rc::gen::inRange(0, known + 1);
  const auto reach = *rc::gen::inRange(0, heard + 1);
  const auto aside = *rc::gen::inRange(0, heard + 1);
  return peers(known, heard, reach, Millis(*rc::gen::inRange(0, 20'000)), aside);
}

}  // namespace

TEST_CASE("a node whose last call to the store was answered serves", "[readiness]") {
  rc::check([] {
    const auto result =
        view(0, Millis(*rc::gen::inRange(0, 20'000)), random_peers(), random_peers());
    RC_ASSERT(decide(result).serve);
    RC_ASSERT(decide(result).reason == Reason::kStoreAnswers);
  });
}

TEST_CASE("a node stays ready while other zones miss the store too, whatever its own zone does",
          "[readiness]") {
  rc::check([] {
    auto others = random_peers();
    RC_PRE(others.known > 0);
    others.reach_store = *rc::gen::inRange(0, others.heard / 2 + 1);
    others.last_heard_age = Millis(*rc::gen::inRange(0, 700));
    auto own = random_peers();
    own.step_aside = *rc::gen::inRange(0, own.heard / 2 + 1);
    const auto result =
        view(*rc::gen::inRange(0, 100), Millis(*rc::gen::inRange(0, 20'000)), own, others);
    RC_ASSERT(decide(result).serve);
  });
}

TEST_CASE("a zone that reaches neither the store nor other zones steps aside", "[readiness]") {
  const auto result =
      view(2, Millis(700), peers(27, 27, 3, Millis(50)), peers(56, 56, 56, Millis(700)));
  REQUIRE_FALSE(decide(result).serve);
  REQUIRE(decide(result).reason == Reason::kCutOff);
  REQUIRE(decide(result).whole_zone);
}

TEST_CASE("a single partitioned node and half a partitioned zone step aside", "[readiness]") {
  const auto others = peers(56, 56, 56, Millis(900));
  REQUIRE_FALSE(decide(view(3, Millis(900), peers(27, 0, 0, Millis(900)), others)).serve);
  const auto half = decide(view(3, Millis(900), peers(27, 13, 0, Millis(50)), others));
  REQUIRE_FALSE(half.serve);
  const auto early = decide(view(3, Millis(900), peers(27, 27, 20, Millis(50)), others));
  REQUIRE_FALSE(early.serve);
  REQUIRE_FALSE(early.whole_zone);
}

TEST_CASE("silence of only the other zones or only the store is no partition", "[readiness]") {
  const auto own = peers(27, 27, 27, Millis(50));
  REQUIRE(decide(view(0, Millis(100), own, peers(56, 0, 0, Millis(5000)))).serve);
  const auto away =
      decide(view(40, Millis(5000), peers(27, 27, 0, Millis(50)), peers(56, 56, 0, Millis(150))));
  REQUIRE(away.serve);
  REQUIRE(away.reason == Reason::kStoreAwayForAll);
}

// Guards against false partitions after a restart of half of the nodes with a slow store that loses
// answers: few beacons of other zones arrive then, and several calls in a row fail. The values come
// from such nodes.
TEST_CASE("a node that the store answered a moment ago is not cut off", "[readiness]") {
  const auto own = peers(9, 5, 5, Millis(50));
  REQUIRE(decide(view(3, Millis(54), own, peers(9, 4, 4, Millis(1315)))).serve);
  REQUIRE(decide(view(3, Millis(432), own, peers(10, 5, 5, Millis(1506)))).serve);
  REQUIRE(decide(view(3, Millis(95), peers(9, 0, 0, Millis(900)), peers(10, 0, 0, Millis(2600))))
              .serve);
  REQUIRE(decide(view(3, Millis(364), own, peers(43, 0, 0, Millis(1674)))).serve);
  REQUIRE_FALSE(
      decide(view(107, Millis(746), peers(28, 24, 0, Millis(50)), peers(37, 6, 5, Millis(730))))
          .serve);
}

TEST_CASE("zones that went down long before the store are no sign of a partition", "[readiness]") {
  const auto own = peers(27, 27, 0, Millis(50));
  REQUIRE(decide(view(9, Millis(2000), own, peers(56, 0, 0, Millis(9000)))).serve);
  REQUIRE_FALSE(decide(view(9, Millis(2000), own, peers(56, 0, 0, Millis(2000)))).serve);
}

TEST_CASE("a node that alone loses the store steps aside once the others have had time to report",
          "[readiness]") {
  const auto own = peers(27, 27, 26, Millis(50));
  const auto others = peers(56, 56, 55, Millis(150));
  REQUIRE(decide(view(9, Millis(1400), own, others)).serve);
  REQUIRE(decide(view(3, Millis(3000), own, others)).serve);
  const auto lost = decide(view(9, Millis(1500), own, others));
  REQUIRE_FALSE(lost.serve);
  REQUIRE(lost.reason == Reason::kStoreLostHere);
  REQUIRE_FALSE(lost.whole_zone);
}

TEST_CASE("with a single zone the other nodes of the zone decide", "[readiness]") {
  const PeerGroupView none;
  REQUIRE_FALSE(decide(view(4, Millis(1000), peers(4, 0, 0, Millis(1000)), none)).serve);
  REQUIRE_FALSE(decide(view(4, Millis(1500), peers(4, 4, 4, Millis(100)), none)).serve);
  REQUIRE(decide(view(4, Millis(9000), peers(4, 4, 1, Millis(100)), none)).serve);
  REQUIRE(decide(view(40, Millis(9000), none, none)).serve);
}

TEST_CASE("a node whose store calls fail steps aside when most of its zone does", "[readiness]") {
  const auto others = peers(56, 56, 0, Millis(500));
  const auto aside = peers(27, 27, 0, Millis(50), 14);
  REQUIRE(decide(view(0, Millis(500), aside, others)).serve);
  REQUIRE(decide(view(1, Millis(500), aside, others)).reason == Reason::kZoneStepsAside);
  REQUIRE(decide(view(1, Millis(500), peers(27, 27, 0, Millis(50), 13), others)).serve);
  REQUIRE(decide(view(1, Millis(500), peers(27, 27, 20, Millis(50), 14), others)).serve);
}
