#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <thread>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::EngineReply;
using test::event_chunk;
using test::FakeEngine;
using test::GatewayFixture;
using test::kLastChunk;
using test::run_until;
using test::stream_head;

namespace {

constexpr int kStreams = 8;
constexpr net::Millis kTimeToSpread{300};
constexpr net::Millis kRetention = cluster::StreamOrigins::kRetention;
constexpr net::Millis kShortOfRetention = kRetention - net::Millis(5000);

std::string text(net::beast::string_view view) { return {view.data(), view.size()}; }

/// Engines of several software versions. A stream breaks off after two events when it begins and is
/// whole when it is resumed.
struct Fixture : GatewayFixture {
  FakeEngine third{context};
  FakeEngine fourth{context};
  std::map<std::string, std::set<std::string>> versions_of;  ///< that brought events, by request

  void add_engine(const std::string& id, FakeEngine& fake, const std::string& version) {
    put_engine(id, fake, "ready", R"(,"version":")" + version + "\"");
    fake.set_script([this, version](const auto& request) {
      versions_of[text(request["Sailgate-Request-Id"])].insert(version);
      const auto after = request["Last-Event-Id"];
      if (after.empty()) {
        const auto bytes = stream_head(request) + event_chunk(1, "d1") + event_chunk(2, "d2");
        return EngineReply{bytes + "6\r\nid: 3\n\r\n", true};
      }
      const int next = std::stoi(text(after)) + 1;
      return EngineReply{stream_head(request) + event_chunk(next, "end") + kLastChunk};
    });
  }

  void remove_engine(const std::string& id) {
    table.remove("servers", "", id);
    run_until(context, [&] { return gateway->state().engines.at(id) == nullptr; });
  }

  void start_with_engines() {
    put_configuration(1);
    start_unconfigured();
    run_until(context, [this] { return gateway->ready(); });
    run_until(context, [this] { return gateway->state().engines.size() > 0; });
  }

  void await_engines(std::size_t count) {
    run_until(context, [&] { return gateway->state().engines.size() == count; });
  }

  /// Makes a node believe that it has seen the list of engines for this long.
  static void observe_since(serving::Gateway& node, net::Millis duration) {
    node.state().engines.restart_observation(net::Clock::now() - duration);
  }

  std::unique_ptr<serving::Gateway> start_second_node() {
    auto second_settings = make_settings();
    second_settings.node = "node-2";
    return start_second(second_settings);
  }

  /// Replaces the first engine by one of its version and one of another, and sends the caller's
  /// further requests to the second node.
  void replace_engine_and_use(serving::Gateway& second) {
    context.restart();
    context.run_for(kTimeToSpread);
    add_engine("e-2", other, "v2");
    add_engine("e-3", third, "v1");
    table.remove("servers", "", "e-1");
    run_until(context, [&] {
      return second.state().engines.size() == 2 && second.state().engines.at("e-1") == nullptr;
    });
    settings.callers = second.state().settings.callers;
  }

  test::CallerAnswer ask_stream(const std::string& id, const std::string& more = "") {
    return ask(
        request("POST", "/resumable/x", "Sailgate-Request-Id: " + id + "\r\n" + more, "prompt"));
  }

  /// Resumes after the second event.
  test::CallerAnswer resume(const std::string& id, const std::string& first_attempt) {
    return ask_stream(id, "Last-Event-Id: 2\r\nResumes: " + first_attempt + "\r\n");
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a broken stream does not go on at another software version",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  add_engine("e-2", other, "v2");
  start_with_engines();
  await_engines(2);
  REQUIRE_FALSE(ask_stream("r-1").whole);
  REQUIRE(versions_of["r-1"].size() == 1);
}

TEST_CASE_METHOD(Fixture, "a broken stream goes on at another engine of its software version",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  add_engine("e-2", other, "v2");
  add_engine("e-3", third, "v1");
  add_engine("e-4", fourth, "v2");
  start_with_engines();
  await_engines(4);
  for (int stream = 0; stream < kStreams; ++stream) {
    const auto id = "r-" + std::to_string(stream);
    REQUIRE(ask_stream(id).whole);
    REQUIRE(versions_of[id].size() == 1);
  }
}

TEST_CASE_METHOD(Fixture, "a caller's resumption is refused while no engine of its version serves",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  REQUIRE_FALSE(ask_stream("r-1").whole);
  add_engine("e-2", other, "v2");
  await_engines(2);
  remove_engine("e-1");
  REQUIRE(resume("r-2", "r-1").status == 503);
  REQUIRE(other.requests().empty());
}

TEST_CASE_METHOD(Fixture, "a caller's resumption goes on at an engine of its software version",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  for (int stream = 0; stream < kStreams; ++stream) {
    REQUIRE_FALSE(ask_stream("r-" + std::to_string(stream)).whole);
  }
  add_engine("e-2", other, "v2");
  add_engine("e-3", third, "v1");
  await_engines(3);
  remove_engine("e-1");
  for (int stream = 0; stream < kStreams; ++stream) {
    const auto number = std::to_string(stream);
    REQUIRE(resume("again-" + number, "r-" + number).whole);
  }
  REQUIRE(other.requests().empty());
}

TEST_CASE_METHOD(Fixture, "a resumption of an attempt whose version is not known is refused",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  REQUIRE(resume("r-2", "r-1").status == 503);
  REQUIRE(engine.requests().empty());
}

TEST_CASE_METHOD(Fixture, "a resumption that names no attempt goes on at its request's version",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  REQUIRE_FALSE(ask_stream("r-1").whole);
  add_engine("e-2", other, "v2");
  add_engine("e-3", third, "v1");
  await_engines(3);
  remove_engine("e-1");
  REQUIRE(ask_stream("r-2", "Last-Event-Id: 2\r\n").whole);
  REQUIRE(other.requests().empty());
}

TEST_CASE_METHOD(Fixture, "a resumption whose request began at several versions is refused",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  REQUIRE_FALSE(ask_stream("r-1").whole);
  add_engine("e-2", other, "v2");
  await_engines(2);
  remove_engine("e-1");
  REQUIRE_FALSE(ask_stream("r-2").whole);
  const auto sent = other.requests().size();
  REQUIRE(ask_stream("r-3", "Last-Event-Id: 2\r\n").status == 503);
  REQUIRE(other.requests().size() == sent);
}

TEST_CASE_METHOD(Fixture, "a resumption without an attempt finds its request's version at a peer",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  const auto second = start_second_node();
  REQUIRE_FALSE(ask_stream("r-1").whole);
  replace_engine_and_use(*second);
  REQUIRE(ask_stream("r-2", "Last-Event-Id: 2\r\n").whole);
  REQUIRE(other.requests().empty());
}

TEST_CASE_METHOD(Fixture,
                 "a resumption that names no attempt goes on where one version has served for long",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  observe_since(*gateway, kShortOfRetention);
  REQUIRE(ask_stream("r-2", "Last-Event-Id: 2\r\n").status == 503);
  observe_since(*gateway, kRetention);
  REQUIRE(ask_stream("r-3", "Last-Event-Id: 2\r\n").whole);
}

TEST_CASE_METHOD(Fixture, "a node that just started learns from a peer which version has served",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  const auto second = start_second_node();
  REQUIRE(ask_stream("r-2", "Last-Event-Id: 2\r\n").status == 503);
  observe_since(*second, kRetention);
  REQUIRE(ask_stream("r-3", "Last-Event-Id: 2\r\n").whole);
  // This node has seen more than its peer.
  add_engine("e-2", other, "v2");
  await_engines(2);
  REQUIRE(ask_stream("r-4", "Last-Event-Id: 2\r\n").status == 503);
}

TEST_CASE_METHOD(Fixture, "a node that read the list anew or stood still may have missed a version",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  observe_since(*gateway, kRetention);
  auto& engines = gateway->state().engines;
  SECTION("read anew") { engines.replace({engines.all().front()->record}); }
  SECTION("stood still") {
    gateway->state().detect_stall(net::Clock::now());
    std::this_thread::sleep_for(2 * serving::NodeState::kMaxMaintenanceGap);
  }
  REQUIRE(ask_stream("r-2", "Last-Event-Id: 2\r\n").status == 503);
}

TEST_CASE_METHOD(Fixture,
                 "a node that just started refuses a resumption whose version it has not seen",
                 "[serving]") {
  // The version that began the stream left before the node started.
  add_engine("e-2", other, "v2");
  start_with_engines();
  REQUIRE(ask_stream("r-2", "Last-Event-Id: 2\r\n").status == 503);
  REQUIRE(other.requests().empty());
}

TEST_CASE_METHOD(Fixture, "a resumption that names no attempt is refused where versions are mixed",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  add_engine("e-2", other, "v2");
  start_with_engines();
  await_engines(2);
  observe_since(*gateway, kRetention);
  REQUIRE(ask_stream("r-2", "Last-Event-Id: 2\r\n").status == 503);
  // Streams of the version that left may still be resumed.
  remove_engine("e-2");
  REQUIRE(ask_stream("r-3", "Last-Event-Id: 2\r\n").status == 503);
  REQUIRE(engine.requests().empty());
  REQUIRE(other.requests().empty());
}

TEST_CASE_METHOD(Fixture, "a resumption at another node goes on at the version that began it",
                 "[serving]") {
  add_engine("e-1", engine, "v1");
  start_with_engines();
  const auto second = start_second_node();
  for (int stream = 0; stream < kStreams; ++stream) {
    REQUIRE_FALSE(ask_stream("r-" + std::to_string(stream)).whole);
  }
  replace_engine_and_use(*second);
  for (int stream = 0; stream < kStreams; ++stream) {
    const auto number = std::to_string(stream);
    REQUIRE(resume("again-" + number, "r-" + number).whole);
  }
  REQUIRE(other.requests().empty());
}
