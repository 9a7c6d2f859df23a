#include "serving/attempt_bound.hpp"

#include <catch2/catch.hpp>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using serving::AttemptBound;
using test::EngineReply;
using test::event_chunk;
using test::GatewayFixture;
using test::kLastChunk;
using test::stream_head;

TEST_CASE("an attempt is bound to the engines that may still be working on it", "[serving]") {
  AttemptBound bound;
  bound.set_max_engines(2);
  REQUIRE(bound.required_engine().empty());
  bound.record_connection_reset("a");
  REQUIRE(bound.required_engine().empty());
  bound.record_connection_reset("b");
  REQUIRE(bound.required_engine() == "a");
  bound.record_finished("a");
  REQUIRE(bound.required_engine().empty());
}

TEST_CASE("at least one engine may work on an attempt", "[serving]") {
  AttemptBound bound;
  bound.set_max_engines(0);
  REQUIRE(bound.required_engine().empty());
  bound.record_connection_reset("a");
  REQUIRE(bound.required_engine() == "a");
}

namespace {

/// Two engines that reset the connection during a stream and can resume the stream afterwards.
struct ResetFixture : GatewayFixture {
  ResetFixture() {
    start(true);
    for (auto* each : {&engine, &other}) each->set_script(reset_then_resume);
  }

  static EngineReply reset_then_resume(const net::TextRequest& request) {
    const auto after = request["Last-Event-Id"];
    if (after.empty()) {
      const auto bytes = stream_head(request) + event_chunk(1, "d1") + event_chunk(2, "d2");
      return EngineReply{bytes, false, false, true};
    }
    const auto next = std::stoi(std::string(after.data(), after.size())) + 1;
    return EngineReply{stream_head(request) + event_chunk(next, "end") + kLastChunk, false, false};
  }

  std::size_t engines_asked() const {
    return (engine.requests().empty() ? 0U : 1U) + (other.requests().empty() ? 0U : 1U);
  }
  std::size_t offers() const { return engine.requests().size() + other.requests().size(); }
};

}  // namespace

TEST_CASE_METHOD(ResetFixture,
                 "after a connection reset a stream resumes on the engine that may still run it",
                 "[serving]") {
  const auto got = ask(request("POST", "/resumable/x", "", "prompt"));
  REQUIRE(got.whole);
  REQUIRE(got.body == "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: end\n\n");
  REQUIRE(offers() == 2);
  REQUIRE(engines_asked() == 1);
  REQUIRE(logged({"stream_broken", "goes_on_at"}) == 1);
}

TEST_CASE_METHOD(ResetFixture, "with a limit of two engines an attempt continues on another engine",
                 "[serving]") {
  put_configuration(2, "," + route("/two/", "stream", R"(,"resumable":true)", 2));
  test::run_until(context, [this] { return gateway->state().routes->version() == 2; });
  REQUIRE(ask(request("POST", "/two/x", "", "prompt")).whole);
  REQUIRE(engines_asked() == 2);
}

TEST_CASE_METHOD(ResetFixture, "an unreachable engine does not bind the attempt", "[serving]") {
  const auto reset_and_stop_accepting = [](test::FakeEngine& self) {
    return [&self](const net::TextRequest& request) {
      if (request["Last-Event-Id"].empty()) self.stop_accepting();
      return reset_then_resume(request);
    };
  };
  engine.set_script(reset_and_stop_accepting(engine));
  other.set_script(reset_and_stop_accepting(other));
  REQUIRE(ask(request("POST", "/resumable/x", "", "prompt")).whole);
  REQUIRE(engines_asked() == 2);
}

TEST_CASE_METHOD(ResetFixture, "a stream whose engine refuses to resume it ends truncated",
                 "[serving]") {
  const auto refuse_to_resume = [](const net::TextRequest& request) {
    if (request["Last-Event-Id"].empty()) return reset_then_resume(request);
    return EngineReply{test::not_run_answer(), false, false};
  };
  engine.set_script(refuse_to_resume);
  other.set_script(refuse_to_resume);
  const auto got = ask(request("POST", "/resumable/x", "", "prompt"));
  REQUIRE_FALSE(got.whole);
  REQUIRE(engines_asked() == 1);
}
