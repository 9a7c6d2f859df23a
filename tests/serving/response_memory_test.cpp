#include "serving/response_memory.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace sailgate;
using serving::ResponseMemory;

namespace {
const auto kIgnore = [] {};
}

TEST_CASE("a response that fits alone is not given up", "[serving]") {
  const auto memory = std::make_shared<ResponseMemory>(100);
  ResponseMemory::Share share(memory, kIgnore);
  REQUIRE(share.resize(100));
  REQUIRE_FALSE(share.resize(101));
  REQUIRE(memory->bytes() == 0);
}

TEST_CASE("the largest unfinished response is given up for the others", "[serving]") {
  const auto memory = std::make_shared<ResponseMemory>(100);
  int given_up = 0;
  ResponseMemory::Share complete(memory, [] { FAIL("is complete"); });
  ResponseMemory::Share large(memory, [&] { ++given_up; });
  ResponseMemory::Share small(memory, [] { FAIL("is small"); });
  REQUIRE(complete.resize(45));
  complete.complete();
  REQUIRE(large.resize(40));
  REQUIRE(small.resize(20));
  REQUIRE(given_up == 1);
  REQUIRE(large.given_up());
  REQUIRE_FALSE(large.resize(1));
  REQUIRE(memory->bytes() == 65);
}

TEST_CASE("responses never exceed the limit together, whatever their order", "[serving]") {
  const bool passed = rc::check("limit", [] {
    const auto memory = std::make_shared<ResponseMemory>(1000);
    std::vector<std::unique_ptr<ResponseMemory::Share>> shares;
    std::vector<std::size_t> sizes;
    for (int i = 0; i < 8; ++i) {
      shares.push_back(std::make_unique<ResponseMemory::Share>(memory, kIgnore));
      sizes.push_back(0);
    }
    const int steps = *rc::gen::inRange(0, 200);
    for (int step = 0; step < steps; ++step) {
      const auto i = static_cast<std::size_t>(*rc::gen::inRange(0, 8));
      sizes[i] += static_cast<std::size_t>(*rc::gen::inRange(0, 300));
      if (!shares[i]->resize(sizes[i])) {
        shares[i] = std::make_unique<ResponseMemory::Share>(memory, kIgnore);
        sizes[i] = 0;
      }
      RC_ASSERT(memory->bytes() <= 1000U);
    }
    shares.clear();
    RC_ASSERT(memory->bytes() == 0U);
  });
  REQUIRE(passed);
}
