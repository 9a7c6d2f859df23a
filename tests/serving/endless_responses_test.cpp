#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::EngineReply;
using test::GatewayFixture;
using test::id_line;
using test::run_until;

namespace {

constexpr int kCalls = 24;
constexpr std::size_t kBlock = 64U << 10U;
constexpr std::size_t kLimit = 1U << 20U;
constexpr int kBadGateway = 502;

std::string head_without_length(const net::TextRequest& request) {
  return "HTTP/1.1 200 OK\r\nSailgate-Seal: seal\r\n" + id_line(request) + "\r\n";
}

/// Engines that send bytes without end until the gateway closes.
struct Fixture : GatewayFixture {
  std::vector<test::CallerAnswer> answers;

  void send_without_end(const std::string& block,
                        std::function<std::string(const net::TextRequest&)> head) {
    engine.set_script([block, head](const auto& request) {
      EngineReply reply{head(request)};
      reply.endless = block;
      return reply;
    });
  }

  void ask_many(const std::string& path) {
    for (int call = 0; call < kCalls; ++call) {
      const auto bytes =
          request("POST", path, "Sailgate-Request-Id: c-" + std::to_string(call) + "\r\n", "b");
      const auto send = [this, bytes]() -> net::asio::awaitable<void> {
        answers.push_back(co_await exchange(bytes));
      };
      net::asio::co_spawn(context, send, net::asio::detached);
    }
    run_until(context, [this] { return answers.size() == kCalls; });
  }

  Fixture() { settings.max_response_memory = kLimit; }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "endless bodies to many calls at once stay within the memory limit",
                 "[serving]") {
  send_without_end(std::string(kBlock, 'x'), head_without_length);
  start();
  ask_many("/unsafe/x");
  for (const auto& answer : answers) CHECK(answer.status == kBadGateway);
  REQUIRE(gateway->state().response_memory->peak() <= kLimit);
  REQUIRE(gateway->state().response_memory->bytes() == 0);
}

TEST_CASE_METHOD(Fixture, "endless events to many calls at once stay within the memory limit",
                 "[serving]") {
  send_without_end(std::string(kBlock, 'x'), [](const auto& request) {
    return "HTTP/1.1 200 OK\r\nSailgate-Seal: seal\r\nContent-Type: text/event-stream\r\n" +
           id_line(request) + "\r\nid: 1\ndata: ";
  });
  start();
  ask_many("/stream/x");
  for (const auto& answer : answers) CHECK(answer.status == kBadGateway);
  REQUIRE(gateway->state().response_memory->peak() <= kLimit);
  REQUIRE(gateway->state().response_memory->bytes() == 0);
}

TEST_CASE_METHOD(Fixture, "a whole answer is delivered beside endless ones", "[serving]") {
  int calls = 0;
  engine.set_script([&](const auto& request) {
    if (++calls == 1) return EngineReply{test::engine_answer(request, "small")};
    EngineReply reply{head_without_length(request)};
    reply.endless = std::string(kBlock, 'x');
    return reply;
  });
  start();
  ask_many("/unsafe/x");
  int served = 0;
  for (const auto& answer : answers) served += answer.status == 200 && answer.whole ? 1 : 0;
  REQUIRE(served == 1);
}

TEST_CASE_METHOD(Fixture, "a head, chunk header or trailer without end is answered as broken",
                 "[serving]") {
  const std::string framing = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  const int part = GENERATE(0, 1, 2, 3);
  send_without_end(part == 0 ? "X-Endless: y\r\n" : std::string(kBlock, 'x'),
                   [part, framing](const auto& request) -> std::string {
                     const auto begin = framing + "Sailgate-Seal: seal\r\n" + id_line(request);
                     if (part == 0) return begin;
                     if (part == 1) return "HTTP/1.1 200 OK\r\nX-Endless: ";
                     if (part == 2) return begin + "\r\n5;extension=";
                     return begin + "\r\n2\r\nok\r\n0\r\nX-Trailer: ";
                   });
  start();
  const auto answer = ask(request("POST", "/unsafe/x", "", "b"));
  CAPTURE(part);
  REQUIRE(answer.status == kBadGateway);
}

TEST_CASE_METHOD(Fixture, "a refusal without end does not keep the request from the next engine",
                 "[serving]") {
  const bool slow = GENERATE(false, true);
  const bool chunked = GENERATE(false, true);
  int requests = 0;
  const auto refuse_first = [&, slow, chunked](const auto& request) {
    if (++requests > 1) return EngineReply{test::engine_answer(request, "ok")};
    const std::string framing = chunked ? "Transfer-Encoding: chunked\r\n" : "";
    EngineReply reply{"HTTP/1.1 503 Text\r\nSailgate-Not-Run: 1\r\n" + framing + "\r\n"};
    reply.endless = chunked ? "1\r\nx\r\n" : "x";
    if (!slow) {
      while (reply.endless.size() < kBlock) reply.endless += reply.endless;
    }
    reply.endless_pause = net::Millis(slow ? 20 : 0);
    return reply;
  };
  engine.set_script(refuse_first);
  other.set_script(refuse_first);
  start(true);
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == 200);
  REQUIRE(engine.requests().size() + other.requests().size() == 2);
}

TEST_CASE_METHOD(Fixture, "an answer to a health check without end is no sign of life",
                 "[serving]") {
  engine.set_script([](const auto&) { return EngineReply{"", true}; });
  engine.set_health_script([](const auto&) {
    EngineReply reply{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"};
    reply.endless = std::string(kBlock, 'x');
    return reply;
  });
  start();
  REQUIRE(ask(request("POST", "/unsafe/x", "", "b")).status == kBadGateway);
  REQUIRE(logged({"engine_lost", R"("fate":"unknown")"}) == 1);
}
