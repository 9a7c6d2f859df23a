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

TEST_CASE("a prompt consists of the chain, oldest turn first, and the new input", "[ledger]") {
  const auto first = turn("1", nullptr);
  const auto second = turn("2", first);
  REQUIRE(ledger::assemble_prompt(second, "new") == "iii1o1\niii2o2\nnew");
  REQUIRE(ledger::assemble_prompt(nullptr, "new") == "new");
}

TEST_CASE("a row contains only its own turn and lists the nearest ancestors", "[ledger]") {
  TurnPointer last;
  for (int i = 0; i < 20; ++i) last = turn(std::to_string(i), last, 6000);
  const auto row = ledger::encode_turn(*last, 17);
  REQUIRE(row.segments.size() == 1);
  REQUIRE(row.segments.front().turn == "19");
  REQUIRE(row.segments.front().row_expires_at == 17);
  REQUIRE(row.earlier == "18");
  REQUIRE(row.ancestors.size() == 16);
  REQUIRE(row.ancestors.front() == "18");
  REQUIRE(row.ancestors.back() == "3");
}

TEST_CASE("a first turn has no ancestors", "[ledger]") {
  const auto row = ledger::encode_turn(*turn("big", nullptr, 40'000), 0);
  REQUIRE(row.segments.size() == 1);
  REQUIRE(row.earlier.empty());
  REQUIRE(row.ancestors.empty());
}

TEST_CASE("a message between nodes contains the whole chain", "[ledger]") {
  TurnPointer last;
  for (int i = 0; i < 6; ++i) last = turn(std::to_string(i), last, 6000);
  const auto row = ledger::encode_chain(*last);
  REQUIRE(row.segments.size() == 6);
  REQUIRE(row.segments.front().turn == "0");
  REQUIRE(row.earlier.empty());
}

TEST_CASE("the cache evicts its oldest turns when it exceeds its limit", "[ledger]") {
  ledger::TurnCache cache(5000);
  for (int i = 0; i < 20; ++i) cache.put(turn(std::to_string(i), nullptr, 500));
  REQUIRE(cache.bytes() <= 5000);
  REQUIRE(cache.find("0") == nullptr);
  REQUIRE(cache.find("19") != nullptr);
}
