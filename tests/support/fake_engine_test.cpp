#include "support/fake_engine.hpp"

#include <catch2/catch.hpp>
#include <string>

#include "support/run.hpp"

using namespace sailgate;
using test::EngineReply;
using test::FakeEngine;
using test::run;
using test::run_until;

namespace {

const std::string kText = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A caller of an engine, and the path whose script answers it.
struct Fixture {
  net::asio::io_context context;
  FakeEngine engine{context};
  net::beast::tcp_stream stream{context};
  std::string path = GENERATE("/healthz", "/safe/x");

  void answer_with(const EngineReply& reply) {
    const auto script = [reply](const net::TextRequest&) { return reply; };
    if (path == "/healthz") {
      engine.set_health_script(script);
    } else {
      engine.set_script(script);
    }
    stream.connect(engine.endpoint());
  }

  void ask() {
    const auto request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    net::asio::write(stream.socket(), net::asio::buffer(request));
  }

  /// Reads until `size` bytes are there or the connection ends.
  net::asio::awaitable<std::string> read(std::size_t size, net::Error& error) {
    std::string bytes(size, '\0');
    bytes.resize(co_await net::asio::async_read(stream.socket(), net::asio::buffer(bytes),
                                                net::awaiting(error)));
    co_return bytes;
  }

  std::string receive(std::size_t size, net::Error& error) {
    return run(context, read(size, error));
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a stand-in engine answers one request after another on a connection",
                 "[support]") {
  answer_with({kText});
  net::Error error;
  for (int request = 0; request < 3; ++request) {
    ask();
    REQUIRE(receive(kText.size(), error) == kText);
    REQUIRE_FALSE(error);
  }
  REQUIRE(engine.connections() == 1);
}

TEST_CASE_METHOD(Fixture, "a stand-in engine closes after a reply that asks for it", "[support]") {
  EngineReply reply{kText};
  reply.close_after = true;
  answer_with(reply);
  ask();
  net::Error error;
  REQUIRE(receive(kText.size() + 1, error) == kText);
  REQUIRE(error == net::asio::error::eof);
  REQUIRE(engine.closed_after() == 1);
}

TEST_CASE_METHOD(Fixture, "a stand-in engine resets after a reply that asks for it", "[support]") {
  EngineReply reply{kText};
  reply.reset_after = true;
  answer_with(reply);
  ask();
  net::Error error;
  REQUIRE(receive(kText.size() + 1, error) == kText);
  REQUIRE(error == net::asio::error::connection_reset);
}

TEST_CASE_METHOD(Fixture, "a stand-in engine holds a reply until its caller closes", "[support]") {
  EngineReply reply{kText};
  reply.hold = true;
  answer_with(reply);
  ask();
  net::Error error;
  REQUIRE(receive(kText.size(), error) == kText);
  REQUIRE(engine.abandoned() == 0);
  stream.close();
  run_until(context, [this] { return engine.abandoned() == 1; });
}

TEST_CASE_METHOD(Fixture, "a stand-in engine writes an endless reply until its caller closes",
                 "[support]") {
  EngineReply reply{kText};
  reply.endless = "more";
  reply.endless_pause = net::Millis(1);
  answer_with(reply);
  ask();
  net::Error error;
  REQUIRE(receive(kText.size() + 12, error) == kText + "moremoremore");
  stream.close();
  // Only the acceptor is left to wait for anything.
  engine.stop_accepting();
  run_until(context, [this] { return context.stopped(); });
}

TEST_CASE_METHOD(Fixture, "a stand-in engine ends with a reply that asks for it", "[support]") {
  EngineReply reply{kText};
  reply.end = test::EngineEnd::kClose;
  answer_with(reply);
  ask();
  net::Error error;
  REQUIRE(receive(kText.size() + 1, error) == kText);
  REQUIRE(error == net::asio::error::eof);
  net::beast::tcp_stream next(context);
  next.socket().connect(engine.endpoint(), error);
  REQUIRE(error == net::asio::error::connection_refused);
}
