#include <catch2/catch.hpp>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::EngineReply;
using test::event_chunk;
using test::GatewayFixture;
using test::kLastChunk;
using test::run_until;
using test::stream_head;

namespace {

const std::string kChoir = R"({"name":"choir","api_keys":["k1","k2"],"priority":4})";
const std::string kBand = R"({"name":"band","api_keys":["k3"]})";

std::string key(const std::string& value) { return "X-Api-Key: " + value + "\r\n"; }

/// Two tenants, and a public route that requires no key.
struct TenantFixture : GatewayFixture {
  TenantFixture() {
    put_engine("e-1", engine);
    configure(1, kChoir + "," + kBand);
    start_unconfigured();
    run_until(context, [this] { return gateway->ready(); });
    engine.set_script([](const auto& asked) {
      const auto bytes = stream_head(asked) + event_chunk(1, "d1") + kLastChunk;
      return EngineReply{bytes, false, false};
    });
  }

  void configure(int version, const std::string& tenants) {
    put_configuration(version, "," + route("/open/", "safe", R"(,"public":true)"), tenants);
  }

  int status(const std::string& headers, const std::string& path = "/unsafe/x") {
    return ask(request("POST", path, headers, "in")).status;
  }

  /// Runs a turn of program p. @param previous id of the previous turn; empty: the first turn.
  test::CallerAnswer turn(const std::string& tenant_key, const std::string& id,
                          const std::string& previous, const std::string& input) {
    auto headers = key(tenant_key) + "Sailgate-Request-Id: " + id +
                   "\r\nSailgate-Program: p\r\nSailgate-Token-Budget: 100\r\n"
                   "Sailgate-Tokens: 10,30\r\n";
    if (!previous.empty()) headers += "Sailgate-Prev-Turn: " + previous + "\r\n";
    return ask(request("POST", "/turns/x", headers, input));
  }
};

}  // namespace

TEST_CASE_METHOD(TenantFixture, "an engine receives the tenant's name but not its key",
                 "[serving][tenancy]") {
  REQUIRE(status(key("k2") + "Sailgate-Tenant: band\r\n") == 200);
  const auto& seen = engine.requests().at(0);
  REQUIRE(seen["Sailgate-Tenant"] == "choir");
  REQUIRE(seen.count("Sailgate-Tenant") == 1);
  REQUIRE(seen.count("X-Api-Key") == 0);
  REQUIRE(logged({"\"request\"", "\"tenant\":\"choir\""}) == 1);
  REQUIRE(logged({"k2"}) == 0);
}

TEST_CASE_METHOD(TenantFixture, "requests without one valid key are rejected and reach no engine",
                 "[serving][tenancy]") {
  REQUIRE(status("") == 401);
  REQUIRE(status(key("")) == 401);
  REQUIRE(status(key("k4")) == 401);
  REQUIRE(status(key("k1") + key("k1")) == 401);
  REQUIRE(status(key("k1") + key("k3")) == 401);
  REQUIRE(engine.requests().empty());
  REQUIRE(status(key("  k1  ")) == 200);
}

TEST_CASE_METHOD(TenantFixture,
                 "a public route needs no key but identifies the tenant of a valid one",
                 "[serving][tenancy]") {
  REQUIRE(status("Sailgate-Tenant: band\r\n", "/open/x") == 200);
  REQUIRE(status(key("k3"), "/open/x") == 200);
  REQUIRE(engine.requests().at(0).count("Sailgate-Tenant") == 0);
  REQUIRE(engine.requests().at(1)["Sailgate-Tenant"] == "band");
}

TEST_CASE_METHOD(TenantFixture, "a key in a trailer does not replace the one in the header",
                 "[serving][tenancy]") {
  const auto chunked = [](const std::string& headers, const std::string& trailer) {
    return "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nSailgate-Request-Id: r\r\n" + headers +
           "Transfer-Encoding: chunked\r\n\r\n2\r\nin\r\n0\r\n" + trailer + "\r\n";
  };
  REQUIRE(ask(chunked(key("k1"), key("k3"))).status == 401);
  REQUIRE(ask(chunked(key("k1"), "sailgate-TENANT: band\r\n")).status == 200);
  REQUIRE(engine.requests().at(0)["Sailgate-Tenant"] == "choir");
  REQUIRE(engine.requests().at(0).count("Sailgate-Tenant") == 1);
}

TEST_CASE_METHOD(TenantFixture, "internal headers are removed from requests of callers",
                 "[serving][tenancy]") {
  const std::vector<std::string> names = {
      "Sailgate-Tenant", "sailgate-hold", "SAILGATE-PIN-MS",         "Sailgate-Kv-Backup",
      "kv-from",         "Kv-Fetch",      "Sailgate-Expect-Version", "X-API-KEY"};
  std::string headers;
  for (const auto& name : names) headers += name + ": k1\r\n";
  REQUIRE(status(headers + "Sailgate-Sched-Priority: 0\r\nSailgate-Length-Hint: 7\r\n") == 200);
  const auto& seen = engine.requests().at(0);
  for (const auto& name : names) {
    INFO(name);
    REQUIRE(seen.count(name) == (name == "Sailgate-Tenant" ? 1 : 0));
  }
  REQUIRE(seen["Sailgate-Tenant"] == "choir");
  REQUIRE(seen["Sailgate-Sched-Priority"] == "4");
  REQUIRE(seen["Sailgate-Length-Hint"] == "7");
}

TEST_CASE_METHOD(TenantFixture, "a tenant's priority overrides the route's", "[serving][tenancy]") {
  REQUIRE(status(key("k1")) == 200);
  REQUIRE(status(key("k3")) == 200);
  REQUIRE(engine.requests().at(0)["Sailgate-Sched-Priority"] == "4");
  REQUIRE(engine.requests().at(1)["Sailgate-Sched-Priority"] == "1");
}

TEST_CASE_METHOD(TenantFixture, "a revoked key is rejected on open connections too",
                 "[serving][tenancy]") {
  net::beast::tcp_stream kept(context);
  net::Error error;
  kept.socket().connect(settings.callers, error);
  const auto talk = [&]() -> net::asio::awaitable<int> {
    const auto bytes = request("POST", "/unsafe/x", key("k1"), "in");
    co_await net::asio::async_write(kept, net::asio::buffer(bytes), net::awaiting(error));
    net::beast::flat_buffer buffer;
    net::http::response<net::http::string_body> got;
    co_await net::http::async_read(kept, buffer, got, net::awaiting(error));
    co_return static_cast<int>(got.result_int());
  };
  REQUIRE(test::run(context, talk()) == 200);
  configure(2, R"({"name":"choir","api_keys":["k2"]},)" + kBand);
  run_until(context, [this] { return gateway->state().routes->version() == 2; });
  REQUIRE(test::run(context, talk()) == 401);
  REQUIRE(status(key("k2")) == 200);
}

TEST_CASE_METHOD(TenantFixture, "programs and turns of tenants that use the same ids are isolated",
                 "[serving][tenancy]") {
  REQUIRE(turn("k1", "t1", "", "choir-in").whole);
  REQUIRE(turn("k3", "t1", "", "band-in").whole);
  REQUIRE(turn("k1", "t2", "t1", "more").whole);
  REQUIRE(engine.requests().at(2).body() == "choir-ind1\nmore");
  REQUIRE(turn("k3", "t3", "t1", "more").whole);
  REQUIRE(engine.requests().at(3).body() == "band-ind1\nmore");
  REQUIRE(turn("k3", "t4", "t2", "more").status == 404);
  REQUIRE(engine.requests().size() == 4);
}

TEST_CASE_METHOD(TenantFixture, "tenants with the same program id have separate budgets",
                 "[serving][tenancy]") {
  for (int i = 0; i < 9; ++i) turn("k1", "t" + std::to_string(i), "", "in");
  REQUIRE(turn("k1", "t9", "", "in").status == 402);
  REQUIRE(turn("k3", "t9", "", "in").status == 200);
}

TEST_CASE_METHOD(GatewayFixture, "without configured tenants a key is only removed",
                 "[serving][tenancy]") {
  start();
  engine.set_script([](const auto& asked) {
    return EngineReply{test::engine_answer(asked, "body"), false, false};
  });
  REQUIRE(ask(request("POST", "/unsafe/x", key("any"), "in")).status == 200);
  REQUIRE(engine.requests().at(0).count("X-Api-Key") == 0);
  REQUIRE(engine.requests().at(0).count("Sailgate-Tenant") == 0);
}
