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

PeerGroupView seen(int known, int heard, int reach_store, Millis news, int aside = 0) {
  PeerGroupView nodes;
  nodes.known = known;
  nodes.heard = heard;
  nodes.reach_store = reach_store;
  nodes.last_heard_age = news;
  nodes.step_aside = aside;
  return nodes;
}

ReadinessView view(int failures, Millis unanswered, PeerGroupView own, PeerGroupView others) {
  ReadinessView made;
  made.store_failures = failures;
  made.store_unanswered = unanswered;
  made.own_zone = own;
  made.other_zones = others;
  return made;
}

PeerGroupView any_nodes() {
  const int known = *rc::gen::inRange(0, 90);
  const int heard = *rc::gen::inRange(0, known + 1);
  const auto reach = *rc::gen::inRange(0, heard + 1);
  const auto aside = *rc::gen::inRange(0, heard + 1);
  return seen(known, heard, reach, Millis(*rc::gen::inRange(0, 20'000)), aside);
}

}  // namespace

TEST_CASE("a node whose last call to the store was answered is to serve", "[readiness]") {
  rc::check([] {
    const auto made = view(0, Millis(*rc::gen::inRange(0, 20'000)), any_nodes(), any_nodes());
    RC_ASSERT(decide(made).serve);
    RC_ASSERT(decide(made).reason == Reason::kStoreAnswers);
  });
}

TEST_CASE("a node that hears other zones without the store stays, whatever its own zone does",
          "[readiness]") {
  rc::check([] {
    auto others = any_nodes();
    RC_PRE(others.known > 0);
    others.reach_store = *rc::gen::inRange(0, others.heard / 2 + 1);
    others.last_heard_age = Millis(*rc::gen::inRange(0, 700));
    auto own = any_nodes();
    own.step_aside = *rc::gen::inRange(0, own.heard / 2 + 1);
    const auto made =
        view(*rc::gen::inRange(0, 100), Millis(*rc::gen::inRange(0, 20'000)), own, others);
    RC_ASSERT(decide(made).serve);
  });
}

TEST_CASE("a zone without store and other zones steps aside", "[readiness]") {
  const auto made =
      view(2, Millis(700), seen(27, 27, 3, Millis(50)), seen(56, 56, 56, Millis(700)));
  REQUIRE_FALSE(decide(made).serve);
  REQUIRE(decide(made).reason == Reason::kCutOff);
  REQUIRE(decide(made).whole_zone);
}

TEST_CASE("so does a node alone, and half of a zone; retries meet the others", "[readiness]") {
  const auto others = seen(56, 56, 56, Millis(900));
  REQUIRE_FALSE(decide(view(3, Millis(900), seen(27, 0, 0, Millis(900)), others)).serve);
  const auto half = decide(view(3, Millis(900), seen(27, 13, 0, Millis(50)), others));
  REQUIRE_FALSE(half.serve);
  const auto early = decide(view(3, Millis(900), seen(27, 27, 20, Millis(50)), others));
  REQUIRE_FALSE(early.serve);
  REQUIRE_FALSE(early.whole_zone);
}

TEST_CASE("silence of the other zones alone, or of the store alone, is no cut", "[readiness]") {
  const auto own = seen(27, 27, 27, Millis(50));
  REQUIRE(decide(view(0, Millis(100), own, seen(56, 0, 0, Millis(5000)))).serve);
  const auto away =
      decide(view(40, Millis(5000), seen(27, 27, 0, Millis(50)), seen(56, 56, 0, Millis(150))));
  REQUIRE(away.serve);
  REQUIRE(away.reason == Reason::kStoreAwayForAll);
}

// As nodes saw it in the seconds after half of them were restarted beside a slow store that lost
// answers: other zones are heard seldom then, and some calls in a row fail.
TEST_CASE("a node that the store answered a moment ago is not cut off", "[readiness]") {
  const auto own = seen(9, 5, 5, Millis(50));
  REQUIRE(decide(view(3, Millis(54), own, seen(9, 4, 4, Millis(1315)))).serve);
  REQUIRE(decide(view(3, Millis(432), own, seen(10, 5, 5, Millis(1506)))).serve);
  REQUIRE(
      decide(view(3, Millis(95), seen(9, 0, 0, Millis(900)), seen(10, 0, 0, Millis(2600)))).serve);
  REQUIRE(decide(view(3, Millis(364), own, seen(43, 0, 0, Millis(1674)))).serve);
  REQUIRE_FALSE(
      decide(view(107, Millis(746), seen(28, 24, 0, Millis(50)), seen(37, 6, 5, Millis(730))))
          .serve);
}

TEST_CASE("zones that were gone long before the store are not missed", "[readiness]") {
  const auto own = seen(27, 27, 0, Millis(50));
  REQUIRE(decide(view(9, Millis(2000), own, seen(56, 0, 0, Millis(9000)))).serve);
  REQUIRE_FALSE(decide(view(9, Millis(2000), own, seen(56, 0, 0, Millis(2000)))).serve);
}

TEST_CASE("a node that alone loses the store steps aside when the others have had time to say so",
          "[readiness]") {
  const auto own = seen(27, 27, 26, Millis(50));
  const auto others = seen(56, 56, 55, Millis(150));
  REQUIRE(decide(view(9, Millis(1400), own, others)).serve);
  REQUIRE(decide(view(3, Millis(3000), own, others)).serve);
  const auto lost = decide(view(9, Millis(1500), own, others));
  REQUIRE_FALSE(lost.serve);
  REQUIRE(lost.reason == Reason::kStoreLostHere);
  REQUIRE_FALSE(lost.whole_zone);
}

TEST_CASE("with one zone only the other nodes of it count", "[readiness]") {
  const PeerGroupView none;
  REQUIRE_FALSE(decide(view(4, Millis(1000), seen(4, 0, 0, Millis(1000)), none)).serve);
  REQUIRE_FALSE(decide(view(4, Millis(1500), seen(4, 4, 4, Millis(100)), none)).serve);
  REQUIRE(decide(view(4, Millis(9000), seen(4, 4, 1, Millis(100)), none)).serve);
  REQUIRE(decide(view(40, Millis(9000), none, none)).serve);
}

TEST_CASE("a node follows most of its zone once the store fails it", "[readiness]") {
  const auto others = seen(56, 56, 0, Millis(500));
  const auto aside = seen(27, 27, 0, Millis(50), 14);
  REQUIRE(decide(view(0, Millis(500), aside, others)).serve);
  REQUIRE(decide(view(1, Millis(500), aside, others)).reason == Reason::kZoneStepsAside);
  REQUIRE(decide(view(1, Millis(500), seen(27, 27, 0, Millis(50), 13), others)).serve);
  REQUIRE(decide(view(1, Millis(500), seen(27, 27, 20, Millis(50), 14), others)).serve);
}
