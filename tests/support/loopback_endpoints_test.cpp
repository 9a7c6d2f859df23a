#include "support/loopback_endpoints.hpp"

#include <catch2/catch.hpp>
#include <set>

#include "support/gateway_fixture.hpp"

using namespace sailgate;

TEST_CASE_METHOD(test::GatewayFixture, "nodes of a test never get the same endpoint", "[support]") {
  constexpr int kNodes = 1500;
  std::set<net::Endpoint> seen;
  for (int i = 0; i < kNodes; ++i) {
    const auto made = make_settings();
    for (const auto& endpoint : {made.callers, made.readiness, made.peers}) {
      CAPTURE(endpoint);
      REQUIRE(seen.insert(endpoint).second);
    }
  }
}
