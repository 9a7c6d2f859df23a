#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::EngineReply;
using test::GatewayFixture;

namespace {

std::string text(net::beast::string_view view) { return {view.data(), view.size()}; }

struct ShutdownFixture : GatewayFixture {
  /// Connections that callers keep open between requests.
  std::vector<std::unique_ptr<net::beast::tcp_stream>> kept;
  std::map<std::string, test::CallerAnswer> answers;  ///< by request id

  /// Sends one request and waits for its response or the end of the connection.
  net::asio::awaitable<bool> send(net::beast::tcp_stream& stream, std::string id,
                                  std::string path) {
    const auto bytes = request("POST", path, "Sailgate-Request-Id: " + id + "\r\n", "input");
    net::Error error;
    co_await net::asio::async_write(stream, net::asio::buffer(bytes), net::awaiting(error));
    net::beast::flat_buffer buffer;
    net::http::response_parser<net::http::string_body> parser;
    co_await net::http::async_read(stream, buffer, parser, net::awaiting(error));
    auto& answer = answers[id];
    answer.whole = !error && parser.is_done();
    answer.status = parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
    co_return answer.whole;
  }

  net::asio::awaitable<bool> open_and_send(net::beast::tcp_stream& stream, std::string id) {
    net::Error error;
    co_await stream.async_connect(settings.callers, net::awaiting(error));
    co_return co_await send(stream, std::move(id), "/unsafe/x");
  }

  void open_kept_connections(int count) {
    for (int i = 0; i < count; ++i) {
      kept.push_back(std::make_unique<net::beast::tcp_stream>(context));
      auto& stream = *kept.back();
      REQUIRE(test::run(context, open_and_send(stream, "before-" + std::to_string(i))));
    }
  }

  net::asio::awaitable<void> send_later(net::beast::tcp_stream& stream, net::Millis delay,
                                        std::string id, std::string path) {
    co_await net::sleep_for(context, delay);
    co_await send(stream, std::move(id), std::move(path));
  }

  /// Uses each kept connection again, one after the other at this interval.
  void send_on_kept_connections(net::Millis first, net::Millis interval, const std::string& path) {
    for (std::size_t i = 0; i < kept.size(); ++i) {
      const auto delay = first + static_cast<int>(i) * interval;
      net::asio::co_spawn(context, send_later(*kept[i], delay, "late-" + std::to_string(i), path),
                          net::asio::detached);
    }
  }

  /// Runs until the gateway stops the event loop, which ends its process.
  void run_to_exit() {
    test::run_until(context, [this] { return context.stopped(); });
  }

  /// Gives callers time to read responses that the gateway has written.
  void read_responses() {
    const auto wait = [this]() -> net::asio::awaitable<bool> {
      co_await net::sleep_for(context, net::Millis(50));
      co_return true;
    };
    test::run(context, wait());
  }

  /// Ids of the requests that an engine got and whose callers got no whole response.
  std::vector<std::string> dropped() {
    std::vector<std::string> ids;
    for (const auto& seen : engine.requests()) {
      const auto id = text(seen["Sailgate-Request-Id"]);
      if (!answers[id].whole) ids.push_back(id);
    }
    return ids;
  }
};

EngineReply reply_after(const net::TextRequest& request, net::Millis delay) {
  EngineReply reply{test::engine_answer(request, "done"), false, false};
  reply.delay = delay;
  return reply;
}

EngineReply stream_after(const net::TextRequest& request, net::Millis delay) {
  EngineReply reply{test::stream_head(request) + test::event_chunk(1, "d") + test::kLastChunk,
                    false, false};
  reply.delay = delay;
  return reply;
}

}  // namespace

// Callers' kept connections kept the node busy to the end, and what it had just read was dropped.
TEST_CASE_METHOD(ShutdownFixture, "a stopping node drops no request of a kept connection",
                 "[serving][shutdown]") {
  const std::string path = GENERATE("/unsafe/x", "/stream/x");
  settings.stop_grace = net::Millis(6000);
  start();
  engine.set_script([](const auto& request) { return reply_after(request, net::Millis(0)); });
  open_kept_connections(9);
  engine.set_script([&](const auto& request) {
    constexpr net::Millis kWork{600};
    return path == "/unsafe/x" ? reply_after(request, kWork) : stream_after(request, kWork);
  });
  gateway->stop();
  send_on_kept_connections(net::Millis(2000), net::Millis(400), path);
  run_to_exit();
  REQUIRE(gateway->state().active_requests == 0);
  read_responses();
  REQUIRE(dropped() == std::vector<std::string>{});
  REQUIRE(answers["late-0"].status == 200);
}

// A stream that is sent to a stopping node on a new connection was begun and cut.
TEST_CASE_METHOD(ShutdownFixture, "a stopping node begins no request that it could not finish",
                 "[serving][shutdown]") {
  const std::string path = GENERATE("/unsafe/x", "/stream/x");
  settings.stop_grace = net::Millis(2500);
  start();
  engine.set_script([](const auto& request) {
    return EngineReply{test::stream_head(request) + test::event_chunk(1, "d"), false, true};
  });
  gateway->stop();
  const auto got = ask(request("POST", path, "Sailgate-Deadline-Ms: 1900\r\n", "input"));
  REQUIRE(got.status == 503);
  REQUIRE(got.whole);
  REQUIRE(got.head.count(net::http::field::retry_after) == 1);
  REQUIRE(got.head["Connection"] == "close");
  REQUIRE(engine.requests().empty());
}

TEST_CASE_METHOD(ShutdownFixture, "a stopping node serves requests that usually end in time",
                 "[serving][shutdown]") {
  const std::string path = GENERATE("/unsafe/x", "/stream/x");
  settings.stop_grace = net::Millis(2500);
  start();
  engine.set_script([&](const auto& request) {
    return path == "/unsafe/x" ? reply_after(request, net::Millis(0))
                               : stream_after(request, net::Millis(0));
  });
  REQUIRE(ask(request("POST", path, "", "input")).status == 200);
  gateway->stop();
  const auto got = ask(request("POST", path, "Sailgate-Deadline-Ms: 1900\r\n", "input"));
  REQUIRE(got.status == 200);
  REQUIRE(got.whole);
}

TEST_CASE_METHOD(ShutdownFixture, "a response that outlives a shutdown's estimate is an error",
                 "[serving][shutdown]") {
  settings.stop_grace = net::Millis(2000);
  start();
  engine.set_script([](const auto& request) { return reply_after(request, net::Millis(0)); });
  REQUIRE(ask(request("POST", "/unsafe/x", "", "input")).status == 200);
  engine.set_script([](const auto&) { return EngineReply{"", false, true}; });
  gateway->stop();
  const auto got = ask(request("POST", "/unsafe/x", "Sailgate-Deadline-Ms: 1900\r\n", "input"));
  REQUIRE(got.status == 504);
  REQUIRE(got.whole);
}
