#include "ledger/turn.hpp"

#include <catch2/catch.hpp>

#include "ledger/turn_cache.hpp"
#include "ledger/turn_row.hpp"

using namespace sailgate;
using ledger::Turn;
using ledger::TurnPointer;

namespace {

TurnPointer turn(const std::string& id, TurnPointer previous, std::size_t size = 3) {
  return std::make_shared<const Turn>(
      Turn{id, std::string(size, 'i') + id, "o" + id + "\n", std::move(previous)});
}

}  // namespace

TEST_CASE("a prompt is the chain oldest first and then the new input", "[ledger]") {
  const auto first = turn("1", nullptr);
  const auto second = turn("2", first);
  REQUIRE(ledger::assemble_prompt(second, "new") == "iii1o1\niii2o2\nnew");
  REQUIRE(ledger::assemble_prompt(nullptr, "new") == "new");
}

TEST_CASE("a short chain fits one row", "[ledger]") {
  const auto last = turn("3", turn("2", turn("1", nullptr)));
  const auto row = ledger::encode_turn(*last);
  REQUIRE(row.segments.size() == 3);
  REQUIRE(row.segments.front().turn == "1");
  REQUIRE(row.earlier.empty());
}

TEST_CASE("a long chain names the turn whose row holds the rest", "[ledger]") {
  TurnPointer last;
  for (int i = 0; i < 6; ++i) last = turn(std::to_string(i), last, 6000);
  const auto row = ledger::encode_turn(*last);
  REQUIRE(row.segments.size() == 2);
  REQUIRE(row.earlier == "3");
  REQUIRE(ledger::encode_whole_chain(*last).segments.size() == 6);
}

TEST_CASE("a turn that is larger than a row's share still has a row", "[ledger]") {
  const auto row = ledger::encode_turn(*turn("big", turn("1", nullptr), 40'000));
  REQUIRE(row.segments.size() == 1);
  REQUIRE(row.earlier == "1");
}

TEST_CASE("the cache gives up its oldest turns beyond its bound", "[ledger]") {
  ledger::TurnCache cache(5000);
  for (int i = 0; i < 20; ++i) cache.put(turn(std::to_string(i), nullptr, 500));
  REQUIRE(cache.bytes() <= 5000);
  REQUIRE(cache.find("0") == nullptr);
  REQUIRE(cache.find("19") != nullptr);
}
