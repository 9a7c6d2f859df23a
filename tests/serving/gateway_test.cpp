#include "serving/gateway.hpp"

#include <catch2/catch.hpp>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::EngineReply;
using test::GatewayFixture;
using test::run_until;

namespace {

EngineReply answer(const net::TextRequest& request, const std::string& body) {
  return {test::engine_answer(request, body), false, false};
}

std::string text(net::beast::string_view view) { return {view.data(), view.size()}; }

}  // namespace

TEST_CASE_METHOD(GatewayFixture, "a request is forwarded and its response returned unchanged",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) { return answer(request, "the body"); });
  const auto got = ask(request("POST", "/unsafe/x?q=1",
                               "X-Own: kept\r\nConnection: X-Hop\r\n"
                               "X-Hop: dropped\r\n",
                               "input"));
  REQUIRE(got.status == 200);
  REQUIRE(got.body == "the body");
  REQUIRE(got.head["Sailgate-Seal"] == "seal");
  const auto& seen = engine.requests().at(0);
  REQUIRE(seen.target() == "/unsafe/x?q=1");
  REQUIRE(seen.body() == "input");
  REQUIRE(seen["X-Own"] == "kept");
  REQUIRE(seen.count("X-Hop") == 0);
  REQUIRE(seen["Sailgate-Request-Id"] == "r-1");
  REQUIRE(seen["Sailgate-Expect-Instance"] == "e-1");
  REQUIRE(std::stoi(text(seen["Sailgate-Deadline-Ms"])) <= 2000);
}

TEST_CASE_METHOD(GatewayFixture, "the caller's deadline overrides the route's timeout",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) { return answer(request, ""); });
  ask(request("GET", "/safe/x", "Sailgate-Deadline-Ms: 700\r\n"));
  REQUIRE(std::stoi(text(engine.requests().at(0)["Sailgate-Deadline-Ms"])) <= 700);
}

TEST_CASE_METHOD(GatewayFixture,
                 "without a configuration requests get 503 with Retry-After, not 404",
                 "[serving]") {
  start_unconfigured();
  const auto got = ask(request("GET", "/safe/x"));
  REQUIRE(got.status == 503);
  REQUIRE(got.head.count(net::http::field::retry_after) == 1);
  REQUIRE_FALSE(gateway->ready());
}

TEST_CASE_METHOD(GatewayFixture, "invalid requests get specific status codes and reach no engine",
                 "[serving]") {
  start();
  REQUIRE(ask(request("GET", "/none/x")).status == 404);
  REQUIRE(ask("GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n").status == 400);
  REQUIRE(ask("GET /safe/x HTTP/1.1\r\nSailgate-Request-Id: 1\r\n\r\n").status == 400);
  REQUIRE(ask("GET http://h/safe/x HTTP/1.1\r\nHost: h\r\nSailgate-Request-Id: 1\r\n\r\n").status ==
          400);
  REQUIRE(ask("nonsense\r\n\r\n").status == 400);
  REQUIRE(ask(request("GET", "/safe/x", "X: " + std::string(4000, 'x') + "\r\n")).status == 431);
  REQUIRE(ask(request("POST", "/unsafe/x", "", std::string(6000, 'x'))).status == 413);
  REQUIRE(ask("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nSailgate-Request-Id: 1\r\n"
              "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
              .status == 400);
  REQUIRE(ask("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nSailgate-Request-Id: 1\r\n"
              "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef")
              .status == 400);
  REQUIRE(engine.requests().empty());
}

TEST_CASE_METHOD(GatewayFixture, "a request that an engine refused to run goes to another engine",
                 "[serving]") {
  start(true);
  engine.set_script([](const auto&) { return EngineReply{test::not_run_answer(), false, false}; });
  other.set_script([](const auto& request) { return answer(request, "other"); });
  for (int i = 0; i < 4; ++i) {
    REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).body == "other");
  }
  REQUIRE(other.requests().size() == 4);
}

TEST_CASE_METHOD(GatewayFixture, "when every engine refuses, the response contains Retry-After",
                 "[serving]") {
  start(true);
  const auto refuse = [](const auto&) { return EngineReply{test::not_run_answer(), false, false}; };
  engine.set_script(refuse);
  other.set_script(refuse);
  const auto got = ask(request("POST", "/unsafe/x", "", "b"));
  REQUIRE(got.status == 503);
  REQUIRE(got.head.count(net::http::field::retry_after) == 1);
}

TEST_CASE_METHOD(GatewayFixture, "a request that may have run is not retried", "[serving]") {
  start(true);
  const auto lose = [](const auto&) { return EngineReply{"", true, false}; };
  engine.set_script(lose);
  other.set_script(lose);
  const auto got = ask(request("POST", "/unsafe/x", "", "b"));
  REQUIRE(got.status == 502);
  REQUIRE(engine.requests().size() + other.requests().size() == 1);
}

TEST_CASE_METHOD(GatewayFixture, "an idempotent request is retried", "[serving]") {
  start(true);
  engine.set_script([](const auto&) { return EngineReply{"", true, false}; });
  other.set_script([](const auto& request) { return answer(request, "other"); });
  for (int i = 0; i < 3; ++i) REQUIRE(ask(request("GET", "/safe/x")).body == "other");
}

TEST_CASE_METHOD(GatewayFixture,
                 "a 503 without a statement that the request did not run becomes a 502",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) {
    return EngineReply{test::engine_answer(request, "", "", 503), false, false};
  });
  const auto got = ask(request("POST", "/unsafe/x", "", "b"));
  REQUIRE(got.status == 502);
  REQUIRE(got.head.count("Sailgate-Seal") == 0);
}

TEST_CASE_METHOD(GatewayFixture, "an engine's error response is forwarded with its seal",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) {
    return EngineReply{test::engine_answer(request, "why", "", 500), false, false};
  });
  const auto got = ask(request("POST", "/unsafe/x", "", "b"));
  REQUIRE(got.status == 500);
  REQUIRE(got.body == "why");
  REQUIRE(got.head["Sailgate-Seal"] == "seal");
}

TEST_CASE_METHOD(GatewayFixture, "unsealed, truncated or malformed responses are not successes",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) {
    return EngineReply{"HTTP/1.1 200 OK\r\nSailgate-Request-Id: " +
                           text(request["Sailgate-Request-Id"]) + "\r\nContent-Length: 2\r\n\r\nhi",
                       false, false};
  });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == 502);
  engine.set_script([](const auto& request) {
    auto bytes = test::engine_answer(request, "the whole body");
    bytes.resize(bytes.size() - 3);
    return EngineReply{bytes, true, false};
  });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == 502);
  engine.set_script([](const auto&) { return EngineReply{"garbage\r\n\r\n", true, false}; });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == 502);
}

TEST_CASE_METHOD(GatewayFixture, "a response without a length ends when its connection closes",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) {
    return EngineReply{"HTTP/1.1 200 OK\r\nSailgate-Seal: s\r\nSailgate-Request-Id: " +
                           text(request["Sailgate-Request-Id"]) + "\r\n\r\nall of it",
                       true, false};
  });
  const auto got = ask(request("POST", "/unsafe/x", "", "b"));
  REQUIRE(got.status == 200);
  REQUIRE(got.body == "all of it");
}

TEST_CASE_METHOD(GatewayFixture, "a late response to an earlier request is skipped", "[serving]") {
  start();
  engine.set_script([](const auto& request) {
    net::TextRequest earlier;
    earlier.set("Sailgate-Request-Id", "earlier");
    return EngineReply{
        test::engine_answer(earlier, "wrong") + test::engine_answer(request, "right"), false,
        false};
  });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).body == "right");
}

TEST_CASE_METHOD(GatewayFixture, "surplus bytes after a response close the connection",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) {
    return EngineReply{test::engine_answer(request, "body") + "HTTP/1.1 200 OK\r\n", false, false};
  });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).body == "body");
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).body == "body");
  REQUIRE(engine.connections() == 2);
}

TEST_CASE_METHOD(GatewayFixture,
                 "connections to engines are reused until an engine sends Connection: close",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) { return answer(request, ""); });
  for (int i = 0; i < 5; ++i) ask(request("POST", "/unsafe/x", "", "b"));
  REQUIRE(engine.connections() == 1);
  engine.set_script([](const auto& request) {
    return EngineReply{test::engine_answer(request, "", "Connection: close\r\n"), false, false};
  });
  ask(request("POST", "/unsafe/x", "", "b"));
  ask(request("POST", "/unsafe/x", "", "b"));
  REQUIRE(engine.connections() == 2);
}

TEST_CASE_METHOD(GatewayFixture, "a draining engine gets no new requests", "[serving]") {
  start(true);
  const auto serve = [](const auto& request) { return answer(request, ""); };
  engine.set_script(serve);
  other.set_script(serve);
  put_engine("e-1", engine, "draining");
  run_until(context, [this] { return !gateway->state().engines.find("e-1")->usable(); });
  for (int i = 0; i < 5; ++i) ask(request("POST", "/unsafe/x", "", "b"));
  REQUIRE(engine.requests().empty());
}

TEST_CASE_METHOD(GatewayFixture, "an engine that answers with 421 is not used again", "[serving]") {
  start(true);
  engine.set_script([](const auto&) {
    return EngineReply{
        "HTTP/1.1 421 Misdirected\r\nSailgate-Instance: x\r\n"
        "Content-Length: 0\r\n\r\n",
        false, false};
  });
  other.set_script([](const auto& request) { return answer(request, "other"); });
  for (int i = 0; i < 6; ++i) {
    REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).body == "other");
  }
  REQUIRE(engine.requests().size() <= 1);
}

TEST_CASE_METHOD(GatewayFixture, "when the caller disconnects, the connection to the engine closes",
                 "[serving]") {
  start();
  engine.set_script([](const auto&) { return EngineReply{"", false, true}; });
  auto stream = std::make_unique<net::beast::tcp_stream>(context);
  net::Error error;
  stream->socket().connect(settings.callers, error);
  net::asio::write(stream->socket(), net::asio::buffer(request("GET", "/safe/x")));
  run_until(context, [this] { return engine.requests().size() == 1; });
  stream->close();
  run_until(context, [this] { return engine.abandoned() == 1; });
}

TEST_CASE_METHOD(GatewayFixture, "an older configuration never replaces a newer one", "[serving]") {
  start();
  engine.set_script([](const auto& request) { return answer(request, ""); });
  put_configuration(5, "," + route("/new/", "safe"));
  run_until(context, [this] { return gateway->state().routes->version() == 5; });
  put_configuration(4);
  put_engine("e-9", other);
  run_until(context, [this] { return gateway->state().engines.find("e-9") != nullptr; });
  REQUIRE(ask(request("GET", "/new/x")).status == 200);
}

TEST_CASE_METHOD(GatewayFixture, "an invalid configuration changes nothing", "[serving]") {
  start();
  table.put("op", "", "config", "{\"version\":9}");
  put_engine("e-9", other);
  run_until(context, [this] { return gateway->state().engines.find("e-9") != nullptr; });
  REQUIRE(gateway->state().routes->version() == 1);
}

TEST_CASE_METHOD(GatewayFixture,
                 "during shutdown a node is not ready and closes connections after responses",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) { return answer(request, "done"); });
  gateway->stop();
  REQUIRE_FALSE(gateway->ready());
  const auto got = ask(request("GET", "/safe/x"));
  REQUIRE(got.status == 200);
  REQUIRE(got.head["Connection"] == "close");
}

TEST_CASE_METHOD(GatewayFixture,
                 "a truncated response is logged with its request and counts as a failure",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) {
    const auto whole = test::engine_answer(request, "the whole body");
    return EngineReply{whole.substr(0, whole.size() - 5), true, false};
  });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "input")).status == 502);
  REQUIRE(logged({"\"answer_broken\"", "\"id\":\"r-1\"", "\"engine\":\"e-1\""}) == 1);
  REQUIRE(gateway->state().engines.find("e-1")->consecutive_failures == 1);
}

TEST_CASE_METHOD(GatewayFixture,
                 "at the end of a shutdown no request is accepted only to be aborted",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) { return answer(request, "the body"); });
  net::beast::tcp_stream kept(context);
  const auto first = request("POST", "/unsafe/x", "", "input");
  const auto talk = [&]() -> net::asio::awaitable<bool> {
    net::Error error;
    co_await kept.async_connect(settings.callers, net::awaiting(error));
    co_await net::asio::async_write(kept, net::asio::buffer(first), net::awaiting(error));
    net::beast::flat_buffer buffer;
    net::http::response<net::http::string_body> got;
    co_await net::http::async_read(kept, buffer, got, net::awaiting(error));
    co_return !error && got.result_int() == 200;
  };
  REQUIRE(test::run(context, talk()));
  // Programs with unused tokens, which the silent store does not take back.
  engine.set_script([](const auto& request) {
    return EngineReply{test::stream_head(request) + test::event_chunk(1, "d") + test::kLastChunk,
                       false, false};
  });
  for (const std::string program : {"p", "q", "r"}) {
    REQUIRE(ask(request("POST", "/turns/x",
                        "Sailgate-Request-Id: t-" + program + "\r\nSailgate-Program: " + program +
                            "\r\nSailgate-Token-Budget: 1000\r\nSailgate-Tokens: 10,100\r\n",
                        "in"))
                .whole);
  }
  engine.set_script([](const auto&) { return EngineReply{"", false, true}; });
  table.set_mode(test::MemoryTable::Mode::kSilent);
  const auto seen = engine.requests().size();
  gateway->stop();
  // Unregistering waits 0.7 s for the store, and the listener stays open for 3.2 s, so that at 4.2
  // s the listener is closed already.
  const auto late = [&]() -> net::asio::awaitable<bool> {
    co_await net::sleep_for(context, net::Millis(4200));
    net::Error ignored;
    co_await net::asio::async_write(kept, net::asio::buffer(first), net::awaiting(ignored));
    co_await net::sleep_for(context, net::Millis(200));
    co_return true;
  };
  REQUIRE(test::run(context, late()));
  REQUIRE(engine.requests().size() == seen);
}

TEST_CASE_METHOD(GatewayFixture, "a node whose metrics address is in use still serves callers",
                 "[serving]") {
  net::asio::ip::tcp::acceptor taken(context, test::own_endpoint());
  settings.metrics = taken.local_endpoint();
  start();
  REQUIRE(gateway->ready());
  REQUIRE(logged({"metrics_unavailable"}) == 1);
}

TEST_CASE_METHOD(GatewayFixture, "engines whose entries lapsed while the store was away serve on",
                 "[serving]") {
  start();
  engine.set_script([](const auto& request) { return answer(request, "the body"); });
  table.set_mode(test::MemoryTable::Mode::kRefuses);
  const auto return_at = net::Clock::now() + net::Millis(1200);
  run_until(context, [&] { return net::Clock::now() >= return_at; });
  table.remove("servers", "", "e-1");
  table.set_mode(test::MemoryTable::Mode::kUp);
  run_until(context, [&] { return logged({"engine_entry_lapsed", "e-1"}) == 1; });
  REQUIRE(ask(request("POST", "/unsafe/x")).status == 200);

  put_engine("e-1", engine);
  const auto settled_at = net::Clock::now() + net::Millis(2500);
  run_until(context, [&] { return net::Clock::now() >= settled_at; });
  REQUIRE(ask(request("POST", "/unsafe/x")).status == 200);
  REQUIRE(logged({"engine_leaving"}) == 0);

  // Without an outage, the removal of an entry removes its engine.
  table.remove("servers", "", "e-1");
  run_until(context, [&] { return logged({"engine_leaving", "e-1"}) == 1; });
  REQUIRE(ask(request("POST", "/unsafe/x")).status == 503);
}

TEST_CASE_METHOD(GatewayFixture, "an engine whose entry does not come back is gone", "[serving]") {
  start();
  table.set_mode(test::MemoryTable::Mode::kRefuses);
  const auto return_at = net::Clock::now() + net::Millis(1200);
  run_until(context, [&] { return net::Clock::now() >= return_at; });
  table.remove("servers", "", "e-1");
  table.set_mode(test::MemoryTable::Mode::kUp);
  run_until(context, [&] { return logged({"engine_leaving", "e-1"}) == 1; });
  REQUIRE(ask(request("POST", "/unsafe/x")).status == 503);
}

TEST_CASE_METHOD(GatewayFixture, "an engine that answers with faults of its own comes last",
                 "[serving]") {
  start(true);
  engine.set_script([](const auto& request) {
    return EngineReply{test::engine_answer(request, "why", "", 500), false, false};
  });
  other.set_script([](const auto& request) { return answer(request, "other"); });
  int failed = 0;
  for (int i = 0; i < 6; ++i) {
    failed += ask(request("POST", "/unsafe/x", "", "b")).status == 500 ? 1 : 0;
  }
  // Fast errors made the failing engine the least loaded one, so that it got at least every other
  // request. A single error does not suffice to avoid it.
  REQUIRE(failed <= 2);
  REQUIRE(engine.requests().size() == static_cast<std::size_t>(failed));
}

TEST_CASE_METHOD(GatewayFixture,
                 "an engine that restarts under the same name is treated as a new one",
                 "[serving]") {
  start();
  put_engine("e-1", engine, "ready", R"(,"born":1000)");
  run_until(context, [&] { return gateway->state().engines.find("e-1@1000") != nullptr; });
  engine.set_script([](const auto& request) { return answer(request, "the body"); });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == 200);
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == 200);
  const auto connections = engine.connections();
  put_engine("e-1", engine, "draining", R"(,"born":1000)");
  put_engine("e-1", engine, "ready", R"(,"born":2000)");
  run_until(context, [&] { return logged({"engine_restarted", "e-1@2000"}) == 1; });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == 200);
  // Connections to the previous run are not reused, and the engine gets its name without the start.
  REQUIRE(engine.connections() == connections + 1);
  REQUIRE(engine.requests().back()["Sailgate-Expect-Instance"] == "e-1");
  // An invalid entry takes the engine out of use; the next valid one brings it back.
  table.put("servers", "", "e-1", "\xff");
  run_until(context, [&] { return logged({"engine_entry_unusable", "e-1"}) == 1; });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == 503);
  put_engine("e-1", engine, "ready", R"(,"born":2000)");
  run_until(context, [&] { return gateway->state().engines.at("e-1")->usable(); });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == 200);
}
