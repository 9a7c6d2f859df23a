#include "balancing/prompt_demand.hpp"

#include <catch2/catch.hpp>

using namespace sailgate;
using balancing::prompt_key;
using balancing::PromptDemand;

namespace {

const net::TimePoint kStart = net::TimePoint{} + std::chrono::hours(1);

}  // namespace

TEST_CASE("requests are counted per prompt within the window", "[balancing][prompts]") {
  PromptDemand demand;
  const auto often = prompt_key("llm", "often");
  const auto once = prompt_key("llm", "once");
  demand.note(once, 12'000, kStart);
  for (int i = 0; i < 40; ++i) demand.note(often, 8'000, kStart + net::Millis(100 * i));
  const auto counts = demand.told(kStart + net::Millis(4'000));
  REQUIRE(counts == balancing::PromptCounts{{often, 40}, {once, 1}});
  REQUIRE(demand.mean_tokens("llm", kStart + net::Millis(4'000)) == 10'000);
  REQUIRE(demand.told(kStart + PromptDemand::kWindow + net::Millis(500)).count(once) == 0);
  REQUIRE(demand.told(kStart + net::Millis(4'000) + PromptDemand::kWindow).empty());
}

TEST_CASE("counts restart from zero after a pause of several windows", "[balancing][prompts]") {
  PromptDemand demand;
  const auto prompt = prompt_key("llm", "prompt");
  for (int i = 0; i < 9; ++i) demand.note(prompt, 8'000, kStart);
  const auto later = kStart + 7 * PromptDemand::kWindow;
  demand.note(prompt, 8'000, later);
  REQUIRE(demand.told(later).at(prompt) == 1);
}

TEST_CASE("only the most frequent prompts are reported", "[balancing][prompts]") {
  PromptDemand demand;
  for (int prompt = 0; prompt < 5'000; ++prompt) {
    demand.note(prompt_key("llm", std::to_string(prompt)), 8'000, kStart);
  }
  const auto often = prompt_key("llm", "7");
  demand.note(often, 8'000, kStart);
  const auto counts = demand.told(kStart);
  REQUIRE(counts.size() == PromptDemand::kMaxReportedPrompts);
  REQUIRE(counts.at(often) == 2);
}

TEST_CASE("a prompt's key identifies its service", "[balancing][prompts]") {
  const auto key = prompt_key("llm", "prompt");
  REQUIRE(balancing::is_prompt_of(key, "llm"));
  REQUIRE_FALSE(balancing::is_prompt_of(key, "other"));
  REQUIRE(key != prompt_key("other", "prompt"));
  REQUIRE(key != prompt_key("llm", "prompt2"));
  PromptDemand demand;
  demand.note(key, 8'000, kStart);
  REQUIRE(demand.mean_tokens("other", kStart) == 0);
}
