#include "cluster/beacon_codec.hpp"

#include <catch2/catch.hpp>

#include "wire/codec.hpp"

namespace sailgate {

namespace {

/// Beacon with the summary of a zone of 50 nodes that uses `engines` engines.
wire::Beacon beacon_of_zone(int engines) {
  wire::Beacon beacon;
  beacon.incarnation = 7;
  wire::ZoneSummary summary;
  summary.zone = "a";
  for (int node = 0; node < 50; ++node) {
    wire::ZoneMember member;
    member.incarnation = INT64_MAX - node;
    member.reaches_store = true;
    summary.members.push_back(member);
  }
  for (int engine = 0; engine < engines; ++engine) {
    const auto key = INT32_MAX - engine * 1001;
    summary.loads[key] = 5;
    wire::EngineSpeed speed;
    speed.permille = 800;
    speed.samples = 40;
    summary.speeds[key] = speed;
  }
  summary.__isset.speeds = true;
  wire::TenantUsage usage;
  usage.window = 100;
  usage.asked_per_s = 20;
  summary.tenants[1] = usage;
  summary.__isset.tenants = true;
  beacon.__set_summary(summary);
  return beacon;
}

}  // namespace

TEST_CASE("a beacon that fits in a datagram is encoded completely") {
  const auto beacon = beacon_of_zone(100);
  const auto decoded = wire::decode<wire::Beacon>(cluster::encode_beacon(beacon));
  REQUIRE(decoded.summary.speeds.size() == 100);
  REQUIRE(decoded.summary.loads.size() == 100);
}

TEST_CASE("a beacon that is too large drops less important fields") {
  const int engines = GENERATE(600, 3000);
  auto beacon = beacon_of_zone(engines);
  wire::SilentProcess silent;
  for (int tenant = 0; tenant < 400; ++tenant) silent.tenants[tenant * 1'000'003].window = 1000;
  beacon.__set_silent({silent});
  const auto bytes = cluster::encode_beacon(beacon);
  REQUIRE(bytes.size() <= cluster::kMaxBeaconBytes);
  const auto decoded = wire::decode<wire::Beacon>(bytes);
  REQUIRE(decoded.summary.members.size() == 50);
  REQUIRE(decoded.summary.tenants.at(1).window == 100);
  REQUIRE(decoded.summary.speeds.empty());
  REQUIRE_FALSE(decoded.__isset.silent);
  // The loads of 600 engines fit once the speeds are dropped.
  REQUIRE(decoded.summary.loads.empty() == (engines == 3000));
}

TEST_CASE("usage by age is dropped last, and usage over the window never") {
  constexpr int kTenants = 400;
  auto beacon = beacon_of_zone(100);
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    auto& usage = beacon.tenants[INT32_MAX - tenant * 1001];
    usage.window = 100;
    usage.__set_parts({10, 10, 10, 10, 10, 10, 10, 10, 10, 10});
  }
  beacon.__isset.tenants = true;
  const auto bytes = cluster::encode_beacon(beacon);
  REQUIRE(bytes.size() <= cluster::kMaxBeaconBytes);
  const auto decoded = wire::decode<wire::Beacon>(bytes);
  REQUIRE(decoded.summary.loads.empty());
  REQUIRE(decoded.tenants.size() == kTenants);
  const auto& usage = decoded.tenants.begin()->second;
  REQUIRE(usage.window == 100);
  REQUIRE_FALSE(usage.__isset.parts);
}

}  // namespace sailgate
