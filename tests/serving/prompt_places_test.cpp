#include <catch2/catch.hpp>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::GatewayFixture;

namespace {

const std::string kLongPrompt =
    "Sailgate-Program: p-1\r\nSailgate-Tokens: 9000,10\r\n"
    "Sailgate-Prompt-Prefix: 5c1e07a2:8000,91bd3f06:1000\r\n";

/// Two engines that answer every request.
struct PromptFixture : GatewayFixture {
  void start_answering() {
    start(true);
    for (auto* each : {&engine, &other}) {
      each->set_script([](const auto& request) {
        return test::EngineReply{test::engine_answer(request, "answer"), false, false};
      });
    }
  }
};

}  // namespace

TEST_CASE_METHOD(PromptFixture,
                 "a node counts shared prompts, reports them and assigns them to engines",
                 "[serving][prompts]") {
  start_answering();
  REQUIRE(ask(request("POST", "/safe/x", kLongPrompt, "prompt")).status == 200);
  const auto key = balancing::prompt_key("app", "5c1e07a2");
  REQUIRE(gateway->state().beacon(7).prompts == std::map<std::int32_t, std::int32_t>{{key, 1}});
  test::run_until(context, [this] { return logged({"prompt_engines", "\"after\":2"}) == 1; });
  REQUIRE(gateway->state().prompt_placements.at("app").copies() == 2);
}

TEST_CASE_METHOD(PromptFixture, "short prompts and prompts without a shared prefix are not counted",
                 "[serving][prompts]") {
  start_answering();
  const std::string unshared = "Sailgate-Tokens: 9000,10\r\n";
  const std::string brief =
      "Sailgate-Tokens: 900,10\r\nSailgate-Prompt-Prefix: 5c1e07a2:500,91bd3f06:400\r\n";
  REQUIRE(ask(request("POST", "/safe/x", unshared, "prompt")).status == 200);
  REQUIRE(ask(request("POST", "/safe/x", brief, "prompt")).status == 200);
  REQUIRE(gateway->state().beacon(7).prompts.empty());
}

TEST_CASE_METHOD(PromptFixture, "prompt placement can be switched off", "[serving][prompts]") {
  settings.mechanisms.prompts = false;
  start_answering();
  REQUIRE(ask(request("POST", "/safe/x", kLongPrompt, "prompt")).status == 200);
  REQUIRE(gateway->state().beacon(7).prompts.empty());
  REQUIRE(gateway->state().prompt_placements.empty());
}
