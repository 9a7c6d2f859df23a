#include "store/latency_estimate.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using store::LatencyEstimate;

TEST_CASE("lost responses among fast ones do not increase the attempt timeout", "[store]") {
  LatencyEstimate estimate;
  const auto before = estimate.attempt_timeout();
  for (int i = 0; i < 50; ++i) {
    estimate.observe(net::Millis(5));
    estimate.observe_timeout(net::Millis(70));
  }
  REQUIRE(estimate.attempt_timeout() <= before);
}

TEST_CASE("the attempt timeout follows a store that becomes slow and then fast again", "[store]") {
  LatencyEstimate estimate;
  for (auto waited = estimate.attempt_timeout(); waited < net::Millis(300); waited *= 2) {
    for (int i = 0; i < 3; ++i) estimate.observe_timeout(waited);
  }
  REQUIRE(estimate.attempt_timeout() > net::Millis(250));
  for (int i = 0; i < 60; ++i) estimate.observe(net::Millis(5));
  REQUIRE(estimate.attempt_timeout() < net::Millis(100));
}

TEST_CASE("the attempt timeout stays within its limits", "[store]") {
  LatencyEstimate estimate;
  for (int i = 0; i < 100; ++i) estimate.observe_timeout(net::Millis(60'000));
  REQUIRE(estimate.attempt_timeout() <= net::Millis(1000));
  for (int i = 0; i < 100; ++i) estimate.observe(net::Millis(0));
  REQUIRE(estimate.attempt_timeout() >= net::Millis(50));
}
