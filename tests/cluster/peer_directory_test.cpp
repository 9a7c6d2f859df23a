#include "cluster/peer_directory.hpp"

#include <catch2/catch.hpp>
#include <map>

#include "cluster/directory_fixture.hpp"

using namespace sailgate;
using namespace sailgate::test;
using cluster::PeerDirectory;

TEST_CASE("all nodes of a zone agree on a key's home", "[cluster]") {
  const auto now = net::Clock::now();
  PeerDirectory first("a", "zone");
  first.put("b", row(2, "zone"), now);
  first.put("c", row(3, "zone"), now);
  PeerDirectory second("b", "zone");
  second.put("c", row(3, "zone"), now);
  second.put("a", row(1, "zone"), now);
  std::map<std::string, int> shares;
  for (int i = 0; i < 300; ++i) {
    const auto key = "program-" + std::to_string(i);
    const auto seen_by_first = first.home(key, now, kSilence);
    const auto seen_by_second = second.home(key, now, kSilence);
    const auto home = seen_by_first ? seen_by_first->node : "a";
    REQUIRE((seen_by_second ? seen_by_second->node : "b") == home);
    ++shares[home];
  }
  for (const auto& [node, share] : shares) REQUIRE(share > 60);
}

TEST_CASE_METHOD(DirectoryFixture, "nodes of other zones are never a key's home", "[cluster]") {
  for (int i = 0; i < 50; ++i) {
    const auto home = directory.home(std::to_string(i), now, kSilence);
    if (home) REQUIRE(home->node == "near");
  }
}

TEST_CASE_METHOD(DirectoryFixture, "a silent peer is not a key's home until it is heard again",
                 "[cluster]") {
  const auto later = now + kSilence * 2;
  for (int i = 0; i < 50; ++i) REQUIRE_FALSE(directory.home(std::to_string(i), later, kSilence));
  REQUIRE(directory.on_beacon(beacon(1), later));
  bool found = false;
  for (int i = 0; i < 50; ++i) found = found || directory.home(std::to_string(i), later, kSilence);
  REQUIRE(found);
}

TEST_CASE_METHOD(DirectoryFixture,
                 "a peer that was live before a stall does not count as lost after it",
                 "[cluster]") {
  directory.on_beacon(beacon(1), now);
  const auto resumed = now + net::Millis(4000);
  REQUIRE_FALSE(directory.heard(1, resumed, kSilence));
  constexpr int kShards = 40;
  REQUIRE(directory.shards_to_claim({}, kShards, resumed, kSilence).size() == kShards);
  directory.note_stall(now + net::Millis(100), resumed, kSilence);
  REQUIRE(directory.heard(1, resumed, kSilence));
  REQUIRE(directory.shards_to_claim({}, kShards, resumed, kSilence).size() < kShards);
  // A peer that stays silent after the stall counts as lost.
  REQUIRE_FALSE(directory.heard(1, resumed + kSilence, kSilence));
  // A peer that was lost before a stall stays lost.
  directory.note_stall(resumed + 2 * kSilence, resumed + 3 * kSilence, kSilence);
  REQUIRE_FALSE(directory.heard(1, resumed + 3 * kSilence, kSilence));
}

TEST_CASE_METHOD(DirectoryFixture, "a peer is not used for a while after a failed call",
                 "[cluster]") {
  directory.suspect("near", now);
  for (int i = 0; i < 50; ++i) REQUIRE_FALSE(directory.home(std::to_string(i), now, kSilence));
  directory.on_beacon(beacon(1), now + net::Millis(700));
  REQUIRE(directory.reaching_store(now + net::Millis(700), kSilence).size() == 1);
}

TEST_CASE_METHOD(DirectoryFixture, "a beacon of an unknown or older incarnation is ignored",
                 "[cluster]") {
  REQUIRE_FALSE(directory.on_beacon(beacon(99), now).has_value());
  directory.put("near", row(5, "here"), now);
  REQUIRE_FALSE(directory.on_beacon(beacon(1), now).has_value());
  REQUIRE(directory.find(5) != nullptr);
  REQUIRE(directory.find(1) == nullptr);
}

TEST_CASE_METHOD(DirectoryFixture, "loads of lost peers are not counted", "[cluster]") {
  auto message = beacon(1);
  message.loads[cluster::engine_key("e")] = 3;
  directory.on_beacon(message, now);
  REQUIRE(directory.loads(now, kSilence).at("e") == 3);
  REQUIRE(directory.loads(now + kSilence * 2, kSilence).at("e") == 0);
}

TEST_CASE_METHOD(DirectoryFixture,
                 "only peers that reach the store are relays, those of this zone first",
                 "[cluster]") {
  directory.on_beacon(beacon(1, false), now);
  directory.on_beacon(beacon(2), now);
  REQUIRE(directory.reaching_store(now, kSilence).at(0).node == "far");
  directory.on_beacon(beacon(1), now);
  REQUIRE(directory.reaching_store(now, kSilence).at(0).node == "near");
}

TEST_CASE_METHOD(DirectoryFixture, "a row with an invalid address adds no peer", "[cluster]") {
  auto bad = row(7, "here");
  bad.address = "nowhere";
  directory.put("bad", bad, now);
  REQUIRE(directory.peers().count("bad") == 0);
}

TEST_CASE_METHOD(DirectoryFixture, "the newest store version that any peer reported is kept",
                 "[cluster]") {
  REQUIRE(directory.newest_store_version() == 0);
  auto message = beacon(1);
  message.store_version = 40;
  directory.on_beacon(message, now);
  message.store_version = 30;
  directory.on_beacon(message, now);
  REQUIRE(directory.newest_store_version() == 40);
  auto stranger = beacon(99);
  stranger.store_version = 500;
  directory.on_beacon(stranger, now);
  REQUIRE(directory.newest_store_version() == 40);
}

TEST_CASE_METHOD(DirectoryFixture, "a shard's owner with an escrow is preferred to one without",
                 "[cluster][escrow]") {
  auto bare = beacon(1);
  bare.bare_shards = {5};
  auto rich = beacon(2);
  rich.escrow_shards = {5};
  REQUIRE_FALSE(directory.shard_owner(5, now, kSilence));
  directory.on_beacon(bare, now);
  REQUIRE(directory.shard_owner(5, now, kSilence)->node == "near");
  directory.on_beacon(rich, now);
  REQUIRE(directory.shard_owner(5, now, kSilence)->node == "far");
  directory.suspect("far", now);
  REQUIRE(directory.shard_owner(5, now, kSilence)->node == "near");
  REQUIRE_FALSE(directory.shard_owner(6, now, kSilence));
}

TEST_CASE_METHOD(DirectoryFixture,
                 "shards without an owner are distributed among the nodes that are heard",
                 "[cluster][escrow]") {
  constexpr int kShards = 60;
  const auto mine = directory.shards_to_claim({}, kShards, now, kSilence);
  REQUIRE(mine.size() > kShards / 6);
  REQUIRE(mine.size() < kShards / 2);
  // A suspected peer still takes part; a silent one does not.
  directory.suspect("far", now);
  REQUIRE(directory.shards_to_claim({}, kShards, now, kSilence) == mine);
  const auto later = now + kSilence;
  REQUIRE(directory.shards_to_claim({}, kShards, later, kSilence).size() == kShards);
  auto owner = beacon(1);
  owner.escrow_shards = {static_cast<std::int16_t>(mine.front())};
  directory.on_beacon(owner, now);
  const auto rest = directory.shards_to_claim({mine.back()}, kShards, now, kSilence);
  REQUIRE(rest.size() == mine.size() - 2);
}

TEST_CASE_METHOD(DirectoryFixture, "a peer is live again after a failed call only once it is heard",
                 "[cluster]") {
  directory.on_beacon(beacon(1), now);
  directory.suspect("near", now + net::Millis(10));
  const auto later = now + net::Millis(700);
  REQUIRE_FALSE(PeerDirectory::is_live(*directory.find(1), later, kSilence));
  directory.on_beacon(beacon(1), now + net::Millis(690));
  REQUIRE(PeerDirectory::is_live(*directory.find(1), later, kSilence));
}

TEST_CASE_METHOD(DirectoryFixture,
                 "nodes of a suspected zone are live again only once they are heard", "[cluster]") {
  directory.on_beacon(beacon(1), now);
  directory.on_beacon(beacon(2), now);
  directory.suspect_zone("there", now + net::Millis(10));
  const auto later = now + net::Millis(700);
  REQUIRE(PeerDirectory::is_live(*directory.find(1), later, kSilence));
  REQUIRE_FALSE(PeerDirectory::is_live(*directory.find(2), later, kSilence));
  directory.on_beacon(beacon(2), now + net::Millis(690));
  REQUIRE(PeerDirectory::is_live(*directory.find(2), later, kSilence));
}

TEST_CASE_METHOD(DirectoryFixture, "a summary updates the nodes of another zone", "[cluster]") {
  PeerDirectory there("far", "there");
  there.put("far-2", row(3, "there"), now);
  auto second = beacon(3);
  second.escrow_shards = {7};
  second.loads[cluster::engine_key("e")] = 4;
  there.on_beacon(second, now);
  const auto sent_at = now + net::Millis(300);
  const auto summary = there.summarize_zone(beacon(2), sent_at, kSilence, kWindow);
  REQUIRE(summary.members.size() == 2);

  directory.put("far-2", row(3, "there"), now - net::Millis(10'000));
  directory.on_summary(summary, sent_at);
  const auto* peer = directory.find(3);
  REQUIRE(peer->last_heard == now);
  REQUIRE(peer->escrow_shards == std::set<int>{7});
  REQUIRE(directory.shard_owner(7, sent_at, kSilence)->node == "far-2");
  REQUIRE(directory.loads(sent_at, kSilence).at("e") == 4);
}

TEST_CASE_METHOD(DirectoryFixture, "an older summary does not overwrite newer data", "[cluster]") {
  directory.on_beacon(beacon(2), now + net::Millis(500));
  wire::ZoneSummary old;
  old.zone = "there";
  wire::ZoneMember member;
  member.incarnation = 2;
  member.silent_ms = 400;
  member.reaches_store = false;
  old.members.push_back(member);
  directory.on_summary(old, now + net::Millis(600));
  REQUIRE(directory.find(2)->reaches_store);
  REQUIRE(directory.find(2)->last_heard == now + net::Millis(500));
}

TEST_CASE_METHOD(DirectoryFixture, "a summary of this node's own zone is ignored", "[cluster]") {
  wire::ZoneSummary foreign;
  foreign.zone = "here";
  wire::ZoneMember member;
  member.incarnation = 1;
  member.__set_escrow_shards({3});
  foreign.members.push_back(member);
  foreign.loads[cluster::engine_key("e")] = 9;
  directory.on_summary(foreign, now);
  REQUIRE(directory.find(1)->escrow_shards.empty());
  REQUIRE(directory.loads(now, kSilence).at("e") == 0);
}

TEST_CASE_METHOD(DirectoryFixture, "loads of a zone are counted once", "[cluster]") {
  auto own = beacon(2);
  own.loads[cluster::engine_key("e")] = 2;
  directory.on_beacon(own, now);
  wire::ZoneSummary summary;
  summary.zone = "there";
  summary.loads[cluster::engine_key("e")] = 2;
  directory.on_summary(summary, now);
  REQUIRE(directory.loads(now, kSilence).at("e") == 2);
  // Once the summary is too old, the zone's nodes are counted individually.
  directory.on_beacon(own, now + net::Millis(900));
  REQUIRE(directory.loads(now + net::Millis(900), kSilence).at("e") == 2);
}

TEST_CASE_METHOD(DirectoryFixture, "programs that live peers admitted are summed by tenant",
                 "[cluster][admission]") {
  auto near = beacon(1);
  near.__set_begun({{7, 2}, {8, 1}});
  REQUIRE(directory.on_beacon(near, now));
  wire::ZoneSummary summary;
  summary.zone = "there";
  summary.__set_begun({{7, 3}});
  directory.on_summary(summary, now);
  REQUIRE(directory.begun(now, kSilence) == cluster::CountByKey{{7, 5}, {8, 1}});
  REQUIRE(directory.begun(now, kSilence) == directory.live_stats(now, kSilence).begun);
  REQUIRE(directory.begun(now + kSilence * 2, kSilence).empty());
}

TEST_CASE_METHOD(DirectoryFixture, "a restarted process is found by its new incarnation",
                 "[cluster]") {
  directory.put("near", row(9, "here"), now);
  REQUIRE(directory.find(1) == nullptr);
  REQUIRE(directory.find(9)->node == "near");
  directory.remove("near");
  REQUIRE(directory.find(9) == nullptr);
}
