#include "membership/membership.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using membership::Membership;

namespace {

wire::Member member(std::int64_t id, const std::string& host) {
  wire::Member result;
  result.id = id;
  result.host = host;
  result.rpc_port = 1;
  return result;
}

wire::Envelope hello(const wire::Member& sender) {
  wire::Envelope envelope;
  envelope.sender = sender;
  return envelope;
}

wire::Envelope claim(const wire::Member& sender, const wire::Member& about,
                     wire::MemberStatus::type status, std::int32_t counter) {
  auto envelope = hello(sender);
  wire::MemberRumor rumor;
  rumor.member = about;
  rumor.status = status;
  rumor.counter = counter;
  envelope.rumors.push_back(membership::as_rumor(rumor));
  return envelope;
}

}  // namespace

TEST_CASE("a silent member is suspected, then dead", "[membership]") {
  const base::Knobs knobs;
  Membership node(member(1, "a"), knobs, {}, 1, 0);
  node.on_envelope(hello(member(2, "b")), 0);
  REQUIRE(node.is_usable(2));
  for (base::Millis now = 0; now < 10'000; now += knobs.heartbeat_interval) node.on_tick(now);
  REQUIRE(node.is_dead(2));
}

TEST_CASE("a newer incarnation at the same address ends the older one", "[membership]") {
  const base::Knobs knobs;
  Membership node(member(1, "a"), knobs, {}, 1, 0);
  node.on_envelope(hello(member(2, "b")), 0);
  node.on_envelope(hello(member(3, "b")), 0);
  REQUIRE(node.is_dead(2));
  REQUIRE(node.is_usable(3));
  // A late message of the older one does not bring it back.
  node.on_envelope(claim(member(4, "c"), member(2, "b"), wire::MemberStatus::kAlive, 5), 0);
  REQUIRE_FALSE(node.is_usable(2));
}

TEST_CASE("a member refutes its own death", "[membership]") {
  const base::Knobs knobs;
  Membership node(member(1, "a"), knobs, {}, 1, 0);
  node.on_envelope(claim(member(2, "b"), member(1, "a"), wire::MemberStatus::kDead, 4), 0);
  REQUIRE(node.table().find_member(1)->status == wire::MemberStatus::kAlive);
  REQUIRE(node.table().find_member(1)->counter == 5);
}

TEST_CASE("a sender believed dead is told so directly", "[membership]") {
  const base::Knobs knobs;
  Membership node(member(1, "a"), knobs, {}, 1, 0);
  node.on_envelope(claim(member(2, "b"), member(3, "c"), wire::MemberStatus::kDead, 1), 0);
  node.take_outgoing();
  node.on_envelope(hello(member(3, "c")), 0);
  const auto outgoing = node.take_outgoing();
  REQUIRE(outgoing.size() == 1);
  REQUIRE(outgoing.front().envelope.receiver == 3);
  REQUIRE(outgoing.front().envelope.rumors.front().member.status == wire::MemberStatus::kDead);
}

TEST_CASE("tables that saw the same rumors in another order are equal", "[membership]") {
  membership::RumorTable left;
  membership::RumorTable right;
  std::vector<wire::Rumor> rumors;
  for (int i = 0; i < 20; ++i) {
    wire::SlotRumor slot;
    slot.slot = i % 7;
    slot.view = i;
    rumors.push_back(membership::as_rumor(slot));
  }
  for (const auto& rumor : rumors) left.merge(rumor);
  for (auto it = rumors.rbegin(); it != rumors.rend(); ++it) right.merge(*it);
  REQUIRE(left.digests() == right.digests());
  REQUIRE(left.rumors_differing_from(right.digests()).empty());
  REQUIRE(left.rumors_differing_from({}).size() == 7);
}
