#include <catch2/catch.hpp>
#include <string>

#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::GatewayFixture;

namespace {

/// More than the buffers of a connection hold, so that the upload is under way when it is answered.
constexpr int kUploadBytes = 8'000'000;
const std::string kEvent = "id: 1\ndata: the-event\n\n";
const std::string kRoutes[] = {"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x", "/turns/x"};

/// How the engine ends the connection after its response.
enum class End {
  kReset,
  kFinish,           ///< in order; the rest of the request is not read
  kFinishThenReset,  ///< in order; the rest of the request meets a closed connection
};

/// Answers each request as soon as its head has arrived, and reads nothing more.
struct Fixture : GatewayFixture {
  net::asio::ip::tcp::acceptor acceptor{context, {net::asio::ip::address_v4::loopback(), 0}};
  std::vector<std::shared_ptr<net::asio::ip::tcp::socket>> kept;
  std::string framing;  ///< header lines of the response
  std::string body;
  End end = End::kReset;
  net::Millis delay{0};  ///< before the connection ends
  int runs = 0;

  Fixture() {
    max_body_bytes = 2 * kUploadBytes;
    put_configuration(1);
    put_engine("e-1", acceptor.local_endpoint());
    start_unconfigured();
    test::run_until(context, [this] { return gateway->ready(); });
    net::asio::co_spawn(context, accept(), net::asio::detached);
  }

  net::asio::awaitable<void> accept() {
    while (true) {
      auto socket = std::make_shared<net::asio::ip::tcp::socket>(context);
      net::Error error;
      co_await acceptor.async_accept(*socket, net::awaiting(error));
      if (error) co_return;
      net::asio::co_spawn(context, serve(socket), net::asio::detached);
    }
  }

  net::asio::awaitable<void> serve(std::shared_ptr<net::asio::ip::tcp::socket> socket) {
    net::beast::flat_buffer buffer;
    net::http::request_parser<net::http::string_body> parser;
    parser.body_limit(2 * kUploadBytes);
    net::Error error;
    co_await net::http::async_read_header(*socket, buffer, parser, net::awaiting(error));
    if (error || parser.get().method() == net::http::verb::get) co_return;
    ++runs;
    const auto response = "HTTP/1.1 200 OK\r\nSailgate-Seal: seal\r\n" +
                          test::id_line(parser.get()) + framing + "\r\n" + body;
    co_await net::asio::async_write(*socket, net::asio::buffer(response), net::awaiting(error));
    if (delay.count() > 0) co_await net::sleep_for(context, delay);
    if (end != End::kReset) socket->shutdown(net::asio::ip::tcp::socket::shutdown_send, error);
    if (end == End::kFinish) {
      kept.push_back(socket);
      co_return;
    }
    socket->set_option(net::asio::socket_base::linger(true, 0), error);
    socket->close(error);
  }

  test::CallerAnswer upload(const std::string& route, int bytes) {
    return ask(request("POST", route, "", std::string(static_cast<std::size_t>(bytes), 'x')));
  }
  static bool taken_as_whole(const test::CallerAnswer& got) {
    return got.whole && got.status == 200;
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a response that is reset while the upload is under way is not whole",
                 "[serving]") {
  body = kEvent;
  for (const auto& route : kRoutes) {
    for (const int bytes : {10, 300'000, kUploadBytes}) {
      for (const int delay_ms : {0, 60}) {
        CAPTURE(route, bytes, delay_ms);
        delay = net::Millis(delay_ms);
        const auto got = upload(route, bytes);
        REQUIRE_FALSE(taken_as_whole(got));
        REQUIRE((!got.whole || got.status == 502));
      }
    }
  }
}

TEST_CASE_METHOD(Fixture, "a response that ends in order while the upload is under way is whole",
                 "[serving]") {
  body = kEvent;
  end = GENERATE(End::kFinish, End::kFinishThenReset);
  for (const auto& route : kRoutes) {
    CAPTURE(route, static_cast<int>(end));
    const auto got = upload(route, kUploadBytes);
    REQUIRE(taken_as_whole(got));
    REQUIRE(got.body == kEvent);
  }
}

TEST_CASE_METHOD(Fixture, "a response with a length is whole though the upload is reset",
                 "[serving]") {
  body = kEvent;
  framing = "Content-Length: " + std::to_string(kEvent.size()) + "\r\n";
  for (const auto& route : kRoutes) {
    CAPTURE(route);
    const auto got = upload(route, kUploadBytes);
    REQUIRE(taken_as_whole(got));
    REQUIRE(got.body == kEvent);
  }
}
