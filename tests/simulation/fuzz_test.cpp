#include "fuzz.hpp"

#include <catch2/catch.hpp>

#include "simulation/sabotage.hpp"

using namespace sailgate;

TEST_CASE("no promise is violated under faults", "[fuzz]") {
  bench::FuzzOptions options;
  options.seed = 1;
  options.cases = 300;
  options.shrink = false;
  const auto report = bench::fuzz(options);
  CAPTURE(report.description);
  REQUIRE(report.held);
}

TEST_CASE("every sabotage is caught", "[fuzz]") {
  for (const auto& sabotage : simulation::all_sabotages()) {
    bench::FuzzOptions options;
    options.seed = 1;
    options.cases = sabotage.within_cases;
    options.sabotage = sabotage.name;
    options.shrink = false;
    options.announce = false;
    const auto report = bench::fuzz(options);
    CAPTURE(sabotage.name, report.cases);
    REQUIRE_FALSE(report.held);
  }
}
