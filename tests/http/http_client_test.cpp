#include "http/http_client.hpp"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "net/asio.hpp"

using namespace sailgate;
using namespace std::string_literals;
using http::Delivery;
using net::asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kTimeout{20};

/// Answers requests with given bytes, so many on each connection, and ends with a reset if told.
class ByteServer {
 public:
  explicit ByteServer(std::vector<std::string> answers, bool reset = false,
                      std::size_t per_connection = 1)
      : answers_(std::move(answers)),
        reset_(reset),
        per_connection_(per_connection),
        thread_([this] { serve(); }) {}
  ~ByteServer() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);  // ends an accept that waits
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void serve() {
    for (std::size_t next = 0; next < answers_.size();) {
      tcp::socket socket(context_);
      net::Error error;
      acceptor_.accept(socket, error);
      if (error) return;
      for (std::size_t i = 0; i < per_connection_ && next < answers_.size(); ++i) {
        net::beast::flat_buffer buffer;
        net::http::request<net::http::string_body> request;
        net::http::read(socket, buffer, request, error);
        if (error) break;
        net::asio::write(socket, net::asio::buffer(answers_[next++]), error);
      }
      if (reset_) socket.set_option(net::asio::socket_base::linger(true, 0), error);
      socket.close(error);
    }
  }

  net::asio::io_context context_;
  tcp::acceptor acceptor_{context_, {net::asio::ip::address_v4::loopback(), 0}};
  std::vector<std::string> answers_;
  bool reset_;
  std::size_t per_connection_;
  std::thread thread_;
};

http::HttpRequest post() {
  http::HttpRequest request;
  request.method = "POST";
  request.path = {"v1", "a b"};
  request.body = "{}";
  return request;
}

http::HttpResult send(const std::string& answer, bool reset = false) {
  ByteServer server({answer}, reset);
  http::HttpClient client;
  return client.send(server.address(), post(), kTimeout, true);
}

const std::string kUnsound[] = {
    "HTTP/1.1 000 x\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 0 x\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 99 x\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 099 x\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 600 x\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 2000 x\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 -20 x\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 101 x\r\n\r\n",
    "HTTP/1.1 200 OK\r\na b: 1\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\na\x01"s + "b: 1\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\nwhole",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole",
};

}  // namespace

TEST_CASE("a response that is none of HTTP is not an answer of a back end", "[http]") {
  for (const auto& answer : kUnsound) {
    CAPTURE(answer);
    const auto got = send(answer);
    REQUIRE(got.delivery == Delivery::kLost);
    REQUIRE_FALSE(got.body_complete);
    ByteServer server({answer});
    http::HttpClient client;
    int lines = 0;
    const auto streamed =
        client.stream(server.address(), post(), kTimeout, [&](const std::string&) {
          ++lines;
          return true;
        });
    REQUIRE(streamed.delivery == Delivery::kLost);
    REQUIRE_FALSE(streamed.body_complete);
    REQUIRE(lines == 0);
  }
}

TEST_CASE("whole responses of a back end are read whatever their framing", "[http]") {
  for (const std::string& answer :
       {"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nwhole"s,
        "HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"s,
        "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nwhole"s,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nwhole"s}) {
    CAPTURE(answer);
    const auto got = send(answer);
    REQUIRE(got.delivery == Delivery::kAnswered);
    REQUIRE(got.body_complete);
    REQUIRE(got.response.status == 200);
    REQUIRE(got.response.body == "whole");
    REQUIRE(got.response.headers.at("X-A") == "1");
  }
}

TEST_CASE("a response of a back end that is cut or reset is not whole", "[http]") {
  for (const std::string& answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole"s,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"s,
        "HTTP/1.1 200 OK\r\nContent-Le"s, ""s}) {
    CAPTURE(answer);
    REQUIRE_FALSE(send(answer).body_complete);
    REQUIRE_FALSE(send(answer, true).body_complete);
  }
  REQUIRE_FALSE(send("HTTP/1.1 200 OK\r\n\r\nwhole", true).body_complete);
}

TEST_CASE("lines of a streamed response are handed over without their ends", "[http]") {
  ByteServer server(
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "4\r\none\n\r\n6\r\n\r\ntwo\r\r\n4\r\n\nthr\r\n3\r\nee\n\r\n4\r\nlast\r\n"
       "0\r\n\r\n"});
  http::HttpClient client;
  std::vector<std::string> lines;
  const auto got = client.stream(server.address(), post(), kTimeout, [&](const std::string& line) {
    lines.push_back(line);
    return true;
  });
  REQUIRE(got.body_complete);
  REQUIRE(lines == std::vector<std::string>{"one", "", "two", "three", "last"});
}

TEST_CASE("a kept connection that the server has closed is replaced", "[http]") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  ByteServer server({answer, answer, answer});
  http::HttpClient client;
  for (int i = 0; i < 3; ++i) {
    REQUIRE(client.send(server.address(), post(), kTimeout).response.body == "whole");
  }
}

TEST_CASE("a request whose response is unsound is not repeated", "[http]") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
  ByteServer server({answer, "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", answer}, false, 2);
  http::HttpClient client;
  REQUIRE(client.send(server.address(), post(), kTimeout).response.body == "whole");
  REQUIRE(client.send(server.address(), post(), kTimeout).delivery == Delivery::kLost);
  REQUIRE(client.send(server.address(), post(), kTimeout).response.body == "whole");
}

TEST_CASE("a back end that accepts no connection got nothing", "[http]") {
  net::asio::io_context context;
  tcp::acceptor closed(context, {net::asio::ip::address_v4::loopback(), 0});
  const auto address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  closed.close();
  http::HttpClient client;
  REQUIRE(client.send(address, post(), kTimeout).delivery == Delivery::kUnsent);
}
