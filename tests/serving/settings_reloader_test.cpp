#include "serving/settings_reloader.hpp"

#include <catch2/catch.hpp>
#include <stdexcept>

#include "support/gateway_fixture.hpp"

using namespace sailgate;

namespace {

struct Fixture : test::GatewayFixture {
  serving::NodeSettings written = settings;
  std::int64_t modified_at = 1;
  bool broken = false;
  std::vector<serving::NodeSettings> applied;
  serving::SettingsReloader reloader = make_reloader();

  serving::SettingsReloader make_reloader() {
    serving::SettingsReloader::Source source;
    source.read = [this] {
      if (broken) throw std::runtime_error("half a file");
      return written;
    };
    source.modified_at = [this] { return modified_at; };
    const auto apply = [this](const serving::NodeSettings& changed) { applied.push_back(changed); };
    return {context, log, source, settings, apply};
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a reload on a signal applies the store's new address", "[settings]") {
  written.store = test::own_endpoint();
  reloader.reload("signal");
  REQUIRE(applied.size() == 1);
  REQUIRE(applied.front().store == written.store);
  REQUIRE(logged({"settings_reloaded", "signal", "\"taken\":\"store\""}) == 1);
}

TEST_CASE_METHOD(Fixture, "changed quota bounds require a restart", "[settings]") {
  written.quota_bounds.window = net::Millis(4000);
  reloader.reload("signal");
  REQUIRE(applied.empty());
  REQUIRE(logged({"settings_reloaded", "\"need_restart\":\"quota_bounds\""}) == 1);
}

TEST_CASE_METHOD(Fixture, "a modified file is reloaded without a signal", "[settings]") {
  written.stop_grace = net::Millis(1234);
  reloader.reload_if_modified();
  REQUIRE(applied.empty());
  modified_at = 2;
  reloader.reload_if_modified();
  reloader.reload_if_modified();
  REQUIRE(applied.size() == 1);
  REQUIRE(applied.front().stop_grace == net::Millis(1234));
}

TEST_CASE_METHOD(Fixture, "a modified file that was reloaded on a signal is not reloaded again",
                 "[settings]") {
  written.stop_grace = net::Millis(1234);
  modified_at = 2;
  reloader.reload("signal");
  reloader.reload_if_modified();
  REQUIRE(logged({"settings_reloaded"}) == 1);
}

TEST_CASE_METHOD(Fixture, "an unreadable file changes nothing", "[settings]") {
  broken = true;
  reloader.reload("signal");
  REQUIRE(applied.empty());
  REQUIRE(logged({"settings_unreadable", "half a file"}) == 1);
}

TEST_CASE_METHOD(Fixture, "changed listen addresses require a restart", "[settings]") {
  written.callers = test::own_endpoint();
  reloader.reload("signal");
  REQUIRE(applied.empty());
  REQUIRE(logged({"settings_reloaded", "\"need_restart\":\"callers\""}) == 1);
}

TEST_CASE_METHOD(Fixture, "a running node applies a changed grace period", "[settings]") {
  start();
  auto changed = settings;
  changed.stop_grace = net::Millis(900);
  gateway->apply(changed);
  REQUIRE(gateway->state().settings.stop_grace == net::Millis(900));
}

TEST_CASE_METHOD(Fixture, "after a change of the server's address calls use no old connection",
                 "[settings]") {
  net::HttpClient client(context, engine.endpoint());
  const auto script = [](const net::TextRequest& request) {
    return test::EngineReply{test::engine_answer(request, "x"), false, false};
  };
  engine.set_script(script);
  other.set_script(script);
  const auto call = [&] {
    net::TextRequest request;
    request.method(net::http::verb::get);
    request.target("/");
    return test::run(context, client.exchange(std::move(request), net::Millis(500)));
  };
  REQUIRE(call().failure == net::ExchangeFailure::kNone);
  client.set_server(other.endpoint());
  REQUIRE(call().failure == net::ExchangeFailure::kNone);
  REQUIRE(engine.requests().size() == 1);
  REQUIRE(other.requests().size() == 1);
}
