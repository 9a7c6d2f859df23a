#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cluster/beacon_codec.hpp"
#include "cluster/beacon_sender.hpp"
#include "cluster/directory_fixture.hpp"
#include "cluster/plain_members.hpp"
#include "wire/codec.hpp"

using namespace sailgate;
using cluster::PeerDirectory;
using net::Millis;
using test::kSilence;
using test::kWindow;

namespace {

const net::TimePoint kNow{std::chrono::hours(1)};
const std::string kEngine = "engine";

std::int64_t incarnation_of(int number) { return number * 7919LL; }

wire::PeerRow row_of(int number, const std::string& zone) {
  auto row = test::row(incarnation_of(number), zone);
  row.__set_reads_digests(true);
  return row;
}

wire::Beacon beacon_of(int number) {
  auto message = test::beacon(incarnation_of(number));
  message.loads[cluster::engine_key(kEngine)] = 1;
  return message;
}

/// Directory of node 0 of a zone that knows the rows of nodes 1 to `nodes` - 1 since `seen_at`.
PeerDirectory directory_of(const std::string& zone, int nodes, net::TimePoint seen_at,
                           const std::string& peers_zone) {
  PeerDirectory directory("node-0", zone);
  for (int number = 1; number < nodes; ++number) {
    directory.put("node-" + std::to_string(number), row_of(number, peers_zone), seen_at);
  }
  return directory;
}

/// Digest of a zone whose collector, node 0, has just heard all nodes but the lost ones.
wire::ZoneSummary digest_of(int nodes, const std::set<int>& lost) {
  auto collector = directory_of("zone", nodes, kNow - Millis(60'000), "zone");
  for (int number = 1; number < nodes; ++number) {
    if (lost.count(number) == 0) collector.on_beacon(beacon_of(number), kNow);
  }
  return collector.summarize_zone(beacon_of(0), kNow, kSilence, kWindow,
                                  cluster::MemberDetail::kCompact);
}

}  // namespace

TEST_CASE("plain members survive their encoding", "[cluster]") {
  REQUIRE(rc::check([](const std::vector<std::pair<std::uint32_t, std::uint16_t>>& entries) {
    std::vector<cluster::PlainMember> members;
    for (const auto& [id, silence] : entries) members.push_back({id, Millis(silence)});
    const auto decoded = cluster::decode_plain_members(cluster::encode_plain_members(members));
    RC_ASSERT(decoded.size() == members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
      RC_ASSERT(decoded[i].short_id == members[i].short_id);
      const auto limited = std::min(members[i].silence, Millis(2040));
      RC_ASSERT(decoded[i].silence >= limited);
      RC_ASSERT(decoded[i].silence < limited + Millis(8));
    }
  }));
}

TEST_CASE("arbitrary bytes are read as plain members without a fault", "[cluster]") {
  REQUIRE(rc::check([](const std::string& bytes) {
    RC_ASSERT(cluster::decode_plain_members(bytes).size() == bytes.size() / 5);
  }));
}

TEST_CASE("a digest tells all nodes of a large zone which of them live", "[cluster]") {
  constexpr int kNodes = 80;
  auto receiver = directory_of("zone", kNodes, kNow - Millis(60'000), "zone");
  receiver.on_digest(digest_of(kNodes, {5, 7}), kNow);
  for (int number = 1; number < kNodes; ++number) {
    const bool lost = number == 5 || number == 7;
    REQUIRE(receiver.heard(incarnation_of(number), kNow, kSilence) != lost);
  }
  REQUIRE(receiver.loads(kNow, kSilence).at(kEngine) == kNodes - 2);
  REQUIRE_FALSE(receiver.has_digest(kNow + kSilence, kSilence));
}

TEST_CASE("a summary of a zone of 1,200 nodes fits into a datagram", "[cluster]") {
  constexpr int kNodes = 1'200;
  auto message = beacon_of(0);
  message.__set_summary(digest_of(kNodes, {}));
  const auto bytes = cluster::encode_beacon(message);
  REQUIRE(bytes.size() <= cluster::kMaxBeaconBytes);
  auto receiver = directory_of("other", kNodes, kNow - Millis(60'000), "zone");
  receiver.on_summary(wire::decode<wire::Beacon>(bytes).summary, kNow);
  for (int number = 1; number < kNodes; ++number) {
    REQUIRE(receiver.heard(incarnation_of(number), kNow, kSilence));
  }
}

TEST_CASE("nodes of the version before get every member of a large zone in full", "[cluster]") {
  constexpr int kNodes = 80;
  auto collector = directory_of("zone", kNodes, kNow, "zone");
  REQUIRE(collector.all_read_digests());
  auto row = row_of(kNodes, "other");
  row.__isset.reads_digests = false;
  row.reads_digests = false;
  collector.put("node-old", row, kNow);
  const auto summary = collector.summarize_zone(beacon_of(0), kNow, kSilence, kWindow,
                                                cluster::MemberDetail::kCompact);
  REQUIRE(summary.plain.empty());
  REQUIRE(summary.members.size() == kNodes);
  collector.remove("node-old");
  REQUIRE(collector.all_read_digests());
}

TEST_CASE("a collector reports what it heard itself and not what other collectors say",
          "[cluster]") {
  constexpr int kNodes = 80;
  auto collector = directory_of("zone", kNodes, kNow - Millis(60'000), "zone");
  collector.on_beacon(beacon_of(1), kNow);
  collector.on_digest(digest_of(kNodes, {}), kNow);
  REQUIRE(collector.heard(incarnation_of(2), kNow, kSilence));
  const auto summary = collector.summarize_zone(beacon_of(0), kNow, kSilence, kWindow,
                                                cluster::MemberDetail::kCompact);
  REQUIRE(summary.members.size() + cluster::decode_plain_members(summary.plain).size() == 2);
  REQUIRE(summary.loads.at(cluster::engine_key(kEngine)) == 2);
  REQUIRE_FALSE(collector.heard_half_of_zone(kNow, kSilence));
}

TEST_CASE("what a peer reported itself expires although digests say that it lives", "[cluster]") {
  constexpr int kNodes = 80;
  auto receiver = directory_of("zone", kNodes, kNow - Millis(60'000), "zone");
  receiver.on_beacon(beacon_of(1), kNow);
  const auto later = kNow + Millis(5'000);
  auto digest = digest_of(kNodes, {});
  digest.__set_partial(true);
  receiver.on_digest(digest, later);
  REQUIRE(receiver.heard(incarnation_of(1), later, kSilence));
  REQUIRE(receiver.loads(later, kSilence).at(kEngine) == 0);
}

TEST_CASE("a partial digest says who lives and leaves the totals as they are", "[cluster]") {
  constexpr int kNodes = 80;
  auto receiver = directory_of("zone", kNodes, kNow - Millis(60'000), "zone");
  receiver.on_digest(digest_of(kNodes, {}), kNow);
  auto partial = digest_of(10, {});
  partial.__set_partial(true);
  receiver.on_digest(partial, kNow + Millis(100));
  REQUIRE(receiver.loads(kNow + Millis(100), kSilence).at(kEngine) == kNodes);
}

TEST_CASE("nodes with the same view choose the same collectors and replace lost ones",
          "[cluster]") {
  constexpr int kNodes = 80;
  const auto names = [](const PeerDirectory& directory, net::TimePoint now) {
    std::set<std::string> chosen;
    for (const auto* peer : directory.collectors("zone", 3, now, kSilence)) {
      chosen.insert(peer->node);
    }
    return chosen;
  };
  auto directory = directory_of("zone", kNodes, kNow, "zone");
  const auto chosen = names(directory, kNow);
  REQUIRE(chosen.size() <= 3);
  const auto later = kNow + kSilence;
  for (int number = 1; number < kNodes; ++number) {
    const auto name = "node-" + std::to_string(number);
    if (chosen.count(name) == 0) directory.on_beacon(beacon_of(number), later);
  }
  for (const auto& name : names(directory, later)) REQUIRE(chosen.count(name) == 0);
}

TEST_CASE("summaries for tenants' limits list every member with its start", "[cluster]") {
  constexpr int kNodes = 80;
  const auto collector = directory_of("zone", kNodes, kNow, "zone");
  const auto summary = collector.summarize_zone(beacon_of(0), kNow, kSilence, kWindow);
  REQUIRE(summary.plain.empty());
  REQUIRE(summary.members.size() == kNodes);
  REQUIRE(std::all_of(summary.members.begin() + 1, summary.members.end(),
                      [](const auto& member) { return member.__isset.uptime_ms; }));
}
