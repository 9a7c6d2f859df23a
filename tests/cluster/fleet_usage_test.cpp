#include "cluster/fleet_usage.hpp"

#include <catch2/catch.hpp>

#include "cluster/directory_fixture.hpp"

using namespace sailgate;
using namespace sailgate::test;
using cluster::PeerDirectory;

namespace {

constexpr std::int32_t kTenantKey = 7;

wire::Beacon beacon_with_usage(std::int64_t incarnation, int window, int asked_per_s) {
  auto message = beacon(incarnation);
  wire::TenantUsage usage;
  usage.window = window;
  usage.asked_per_s = asked_per_s;
  message.__set_tenants({{kTenantKey, usage}});
  return message;
}

}  // namespace

TEST_CASE_METHOD(DirectoryFixture,
                 "peer reports are summed, with an estimate for requests since the reports",
                 "[cluster][quota]") {
  directory.on_beacon(beacon_with_usage(1, 30, 10), now);
  directory.on_beacon(beacon_with_usage(2, 50, 20), now);
  const auto later = now + net::Millis(300);
  const auto others = peer_usage(directory, kTenantKey, later, kSilence, kWindow);
  REQUIRE(others.reported == Approx(80));
  REQUIRE(others.unreported == Approx(9));
  REQUIRE(others.silent == Approx(0));
  REQUIRE(peer_usage(directory, kTenantKey + 1, later, kSilence, kWindow).reported == Approx(0));
}

TEST_CASE_METHOD(DirectoryFixture,
                 "reports of a silent node count while their requests may be in the window",
                 "[cluster][quota]") {
  directory.on_beacon(beacon_with_usage(1, 30, 10), now);
  const auto at = [&](net::Millis time) {
    return peer_usage(directory, kTenantKey, now + time, kSilence, kWindow);
  };
  REQUIRE(at(kSilence).reported == Approx(0));
  REQUIRE(at(kSilence).unreported == Approx(0));
  REQUIRE(at(kSilence).silent == Approx(30));
  // All requests may have come just before the report.
  REQUIRE(at(kWindow - net::Millis(1)).silent == Approx(30));
  REQUIRE(at(kWindow).silent == Approx(0));
}

TEST_CASE_METHOD(DirectoryFixture, "requests reported by age leave the window bucket by bucket",
                 "[cluster][quota]") {
  auto message = beacon_with_usage(1, 30, 10);
  message.tenants[kTenantKey].__set_parts({5, 0, 0, 0, 0, 0, 0, 0, 10, 15});
  directory.on_beacon(message, now);
  const auto at = [&](int ms) {
    return peer_usage(directory, kTenantKey, now + net::Millis(ms), kSilence, kWindow);
  };
  REQUIRE(at(0).reported == Approx(30));
  REQUIRE(at(0).reported_by_age[0] == Approx(5));
  // A fifth of the requests in the oldest bucket has left the bucket and thus the window.
  REQUIRE(at(100).expired == Approx(3));
  REQUIRE(at(100).expired_by_age[8] == Approx(2));
  REQUIRE(at(1000).silent == Approx(5));
  REQUIRE(at(1000).silent_by_age[2] == Approx(5));
  REQUIRE(at(4999).silent == Approx(5));
  REQUIRE(at(5000).silent == Approx(0));
}

TEST_CASE_METHOD(DirectoryFixture,
                 "the weight of a report decreases before its sender is considered lost",
                 "[cluster][quota]") {
  directory.on_beacon(beacon_with_usage(1, 30, 10), now);
  double before = 30;
  for (auto age = net::Millis(0); age <= kSilence; age += net::Millis(50)) {
    const auto others = peer_usage(directory, kTenantKey, now + age, kSilence, kWindow);
    REQUIRE(others.reported <= before);
    REQUIRE(others.reported + others.silent == Approx(30));
    before = others.reported;
  }
  REQUIRE(before == Approx(0));
  const auto seen = membership_of(directory, now + kSilence / 2, kSilence, kWindow, now);
  REQUIRE(seen.heard == 2);
  REQUIRE(seen.fresh == Approx(1.5));
}

TEST_CASE_METHOD(DirectoryFixture, "the age of a delayed beacon follows from its send time",
                 "[cluster][quota]") {
  auto message = beacon_with_usage(1, 30, 10);
  message.__set_sent_ms(1000);
  REQUIRE(directory.on_beacon(message, now) == now);
  // Sent 0.2 s after the first one, but read only 3 s after it, when this node resumes.
  message.__set_sent_ms(1200);
  const auto woke = now + net::Millis(3000);
  REQUIRE(directory.on_beacon(message, woke) == now + net::Millis(200));
  REQUIRE(peer_usage(directory, kTenantKey, woke, kSilence, kWindow).reported == Approx(0));
  REQUIRE(peer_usage(directory, kTenantKey, woke, kSilence, kWindow).silent == Approx(30));
  // A reordered beacon does not replace a newer one.
  message = beacon_with_usage(1, 5, 1);
  message.__set_sent_ms(1100);
  directory.on_beacon(message, woke);
  REQUIRE(peer_usage(directory, kTenantKey, woke, kSilence, kWindow).silent == Approx(30));
}

TEST_CASE_METHOD(DirectoryFixture, "a delayed summary does not replace a newer one",
                 "[cluster][quota]") {
  wire::ZoneSummary summary;
  summary.zone = "there";
  wire::TenantUsage usage;
  usage.window = 40;
  summary.__set_tenants({{kTenantKey, usage}});
  directory.on_summary(summary, now);
  usage.window = 10;
  summary.__set_tenants({{kTenantKey, usage}});
  directory.on_summary(summary, now - net::Millis(100));
  REQUIRE(peer_usage(directory, kTenantKey, now, kSilence, kWindow).reported == Approx(40));
}

TEST_CASE_METHOD(DirectoryFixture,
                 "a process that has left is still counted, even without earlier reports",
                 "[cluster][quota]") {
  directory.remove("near");
  directory.on_beacon(beacon_with_usage(1, 30, 10), now);
  REQUIRE(peer_usage(directory, kTenantKey, now, kSilence, kWindow).reported == Approx(30));
  REQUIRE(directory.departed().serving(now, kSilence).size() == 1);
  REQUIRE(directory.departed().serving(now + kSilence, kSilence).empty());
}

TEST_CASE_METHOD(DirectoryFixture, "a zone summary reports the requests admitted by its nodes",
                 "[cluster][quota]") {
  PeerDirectory there("far", "there");
  there.put("far-2", row(3, "there"), now);
  there.on_beacon(beacon_with_usage(3, 40, 5), now);
  const auto summary = there.summarize_zone(beacon_with_usage(2, 10, 1), now, kSilence, kWindow);
  directory.put("far-2", row(3, "there"), now);
  // The summary of the zone replaces the node's own earlier report.
  directory.on_beacon(beacon_with_usage(2, 10, 1), now);
  directory.on_summary(summary, now);
  const auto others = peer_usage(directory, kTenantKey, now, kSilence, kWindow);
  REQUIRE(others.reported == Approx(50));
}

TEST_CASE_METHOD(DirectoryFixture, "nodes that have just started count as having unknown history",
                 "[cluster][quota]") {
  const auto started = now - net::Millis(60'000);
  auto young = beacon(1);
  young.__set_uptime_ms(1000);
  directory.on_beacon(young, now);
  directory.on_beacon(beacon(2), now);
  const auto seen = membership_of(directory, now, kSilence, kWindow, started);
  REQUIRE(seen.known == 3);
  REQUIRE(seen.heard == 3);
  // Four fifths of the window lie before its start; one more bucket is added for the granularity of
  // the spans.
  REQUIRE(seen.restarted_share == Approx(1.0 / 3));
  REQUIRE(seen.unknown_history == Approx(0.9 / 3));
  // All nodes have restarted, including this one.
  auto other = beacon(2);
  other.__set_uptime_ms(0);
  directory.on_beacon(other, now);
  const auto anew = membership_of(directory, now, kSilence, kWindow, now);
  REQUIRE(anew.restarted_share == Approx(1));
  REQUIRE(anew.unknown_history == Approx((0.9 + 1 + 1) / 3));
  const auto later = now + net::Millis(900);
  REQUIRE(membership_of(directory, later, kSilence, kWindow, started).heard == 1);
}

TEST_CASE_METHOD(DirectoryFixture,
                 "a node that started later learns which requests a lost process admitted",
                 "[cluster][quota]") {
  auto message = beacon_with_usage(1, 30, 10);
  message.tenants[kTenantKey].__set_parts({30});
  // The other nodes have received it as well.
  const auto told_at = now + net::Millis(1000);
  directory.on_beacon(message, told_at);
  const auto lost_at = told_at + net::Millis(1000);
  REQUIRE(directory.silent_processes_to_relay(lost_at, kSilence, kWindow, 0).empty());
  directory.put("new", row(7, "here"), lost_at);
  const auto lost = directory.silent_processes_to_relay(lost_at, kSilence, kWindow, 0);
  REQUIRE(lost.size() == 1);
  REQUIRE(lost[0].incarnation == 1);

  PeerDirectory learner("new", "here");
  learner.set_incarnation(7);
  learner.put("self", row(9, "here"), lost_at);
  learner.put("near", row(1, "here"), lost_at);
  auto news = beacon(9);
  news.__set_silent(lost);
  learner.on_beacon(news, lost_at);
  const auto learned = [&](net::TimePoint at) {
    return peer_usage(learner, kTenantKey, at, kSilence, kWindow);
  };
  REQUIRE(learned(lost_at).silent == Approx(30));
  // Aged from the process's last own report, not from the message that passed it on.
  REQUIRE(learned(told_at + kWindow).silent == Approx(0));
  // A beacon of the process arrives after all; its requests are counted only once.
  learner.on_beacon(message, lost_at);
  REQUIRE(learned(lost_at).reported + learned(lost_at).silent == Approx(30));
}

TEST_CASE_METHOD(DirectoryFixture, "a node ignores reports of others about itself",
                 "[cluster][quota]") {
  directory.set_incarnation(5);
  auto news = beacon(1);
  wire::SilentProcess process;
  process.node = "self";
  process.incarnation = 5;
  process.tenants = beacon_with_usage(5, 30, 0).tenants;
  news.__set_silent({process});
  directory.on_beacon(news, now);
  REQUIRE(peer_usage(directory, kTenantKey, now, kSilence, kWindow).silent == Approx(0));
}

TEST_CASE_METHOD(DirectoryFixture,
                 "a restarted node has unknown history only since its last process's report",
                 "[cluster][quota]") {
  const auto started = now - net::Millis(60'000);
  directory.on_beacon(beacon(1), now);
  const auto restarted = now + net::Millis(1000);
  directory.put("near", row(8, "here"), restarted);
  const auto seen = membership_of(directory, restarted, kSilence, kWindow, started);
  // 1 s since its last report plus one bucket for the granularity; the far peer reported nothing.
  REQUIRE(seen.unknown_history == Approx((0.3 + 0.9) / 3));
}

TEST_CASE_METHOD(DirectoryFixture,
                 "requests admitted by a zone that was lost completely are still counted",
                 "[cluster][quota]") {
  wire::ZoneSummary summary;
  summary.zone = "there";
  wire::ZoneMember member;
  member.incarnation = 2;
  summary.members = {member};
  wire::TenantUsage usage;
  usage.window = 40;
  usage.__set_parts({40});
  summary.__set_tenants({{kTenantKey, usage}});
  directory.on_summary(summary, now);
  // The zone's new processes do not know the earlier ones.
  wire::ZoneSummary anew;
  anew.zone = "there";
  member.incarnation = 3;
  member.__set_uptime_ms(100);
  anew.members = {member};
  const auto later = now + net::Millis(2000);
  directory.on_summary(anew, later);
  const auto others = peer_usage(directory, kTenantKey, later, kSilence, kWindow);
  REQUIRE(others.reported + others.silent == Approx(40));
}
