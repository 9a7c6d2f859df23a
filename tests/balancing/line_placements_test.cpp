#include "balancing/line_placements.hpp"

#include <catch2/catch.hpp>

using sailgate::balancing::LinePlacements;

TEST_CASE("each line of a program has its own engine", "[balancing]") {
  LinePlacements placements(10);
  REQUIRE(placements.find("program", "main").empty());
  placements.note("program", "main", "a");
  placements.note("program", "helper", "b");
  REQUIRE(placements.find("program", "main") == "a");
  REQUIRE(placements.find("program", "helper") == "b");
  placements.note("program", "main", "c");
  REQUIRE(placements.find("program", "main") == "c");
}

TEST_CASE("a new line starts at the engine of the program's last turn", "[balancing]") {
  LinePlacements placements(10);
  placements.note("program", "main", "a");
  REQUIRE(placements.find("program", "helper") == "a");
  REQUIRE(placements.find("other", "helper").empty());
}

TEST_CASE("the least recently used programs are evicted first", "[balancing]") {
  LinePlacements placements(2);
  placements.note("first", "", "a");
  placements.note("second", "", "b");
  placements.note("first", "", "a");
  placements.note("third", "", "c");
  REQUIRE(placements.programs() == 2);
  REQUIRE(placements.find("first", "") == "a");
  REQUIRE(placements.find("second", "").empty());
  REQUIRE(placements.find("third", "") == "c");
}
