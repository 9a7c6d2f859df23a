#include "base/mechanisms.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;

TEST_CASE("each mechanism can be switched off by its name", "[base]") {
  base::Mechanisms mechanisms;
  REQUIRE(mechanisms.escrow);
  for (const auto& name : base::mechanism_names()) base::switch_off(mechanisms, name);
  REQUIRE_FALSE(mechanisms.escrow);
  REQUIRE_FALSE(mechanisms.homes);
  REQUIRE_FALSE(mechanisms.gathering);
  REQUIRE_FALSE(mechanisms.relay);
  REQUIRE_FALSE(mechanisms.lines);
  REQUIRE_FALSE(mechanisms.affinity);
  REQUIRE_FALSE(mechanisms.peer_loads);
  REQUIRE_FALSE(mechanisms.avoidance);
  REQUIRE_FALSE(mechanisms.resuming);
}

TEST_CASE("an unknown mechanism is refused", "[base]") {
  base::Mechanisms mechanisms;
  REQUIRE_THROWS_AS(base::switch_off(mechanisms, "escrows"), std::invalid_argument);
}
