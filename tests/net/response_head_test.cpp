#include "net/response_head.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

using namespace sailgate;
using net::ResponseHead;

namespace {

/// @return nullopt if the parser rejects the head.
std::optional<ResponseHead> classify_text(const std::string& head) {
  net::http::response_parser<net::http::string_body> parser;
  net::Error error;
  parser.put(net::asio::buffer(head), error);
  if (error || !parser.is_header_done()) return std::nullopt;
  return net::classify(parser.get());
}

std::string with_status(const std::string& status) {
  return "HTTP/1.1 " + status + " Reason\r\nContent-Length: 0\r\n\r\n";
}

std::string with_line(const std::string& line) { return "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n"; }

}  // namespace

TEST_CASE("only statuses of HTTP make a response", "[net]") {
  for (int status = 0; status <= 999; ++status) {
    auto text = std::to_string(status);
    text.insert(0, 3 - text.size(), '0');
    CAPTURE(text);
    auto expected = ResponseHead::kInvalid;
    if (status >= 100 && status < 200 && status != 101) expected = ResponseHead::kInterim;
    if (status >= 200 && status < 600) expected = ResponseHead::kFinal;
    REQUIRE(classify_text(with_status(text)) == expected);
  }
  for (const char* status : {"0", "20", "2000", "-20", "+20", "2x0", "65736"}) {
    CAPTURE(status);
    REQUIRE_FALSE(classify_text(with_status(status)));
  }
}

TEST_CASE("a body in a transfer coding other than chunked is not a response", "[net]") {
  REQUIRE(classify_text(with_line("Transfer-Encoding: chunked")) == ResponseHead::kFinal);
  REQUIRE(classify_text(with_line("transfer-encoding: Chunked")) == ResponseHead::kFinal);
  for (const char* value : {"gzip", "chunked, gzip", "gzip, chunked", "identity", "", "chunkedx"}) {
    CAPTURE(value);
    const auto kind = classify_text(with_line(std::string("Transfer-Encoding: ") + value));
    REQUIRE((!kind || kind == ResponseHead::kInvalid));
  }
  const auto twice =
      classify_text(with_line("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked"));
  REQUIRE((!twice || twice == ResponseHead::kInvalid));
  REQUIRE(classify_text("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") ==
          ResponseHead::kInvalid);
}

TEST_CASE("a head with malformed fields is not a response", "[net]") {
  using namespace std::string_literals;
  const std::string lines[] = {"a b: 1",
                               "a\tb: 1",
                               "a\x01: 1",
                               "a\0: 1"s,
                               "a\x7f: 1",
                               "a\xe4: 1",
                               ": 1",
                               "a : 1",
                               "no colon",
                               "a: \x01",
                               "a: x\0y"s,
                               "a: x\ry",
                               "a: x\x7fy",
                               "Content-Length: +1",
                               "Content-Length: -1",
                               "Content-Length: one",
                               "Content-Length: 1\r\nContent-Length: 2",
                               "Content-Length: 1\r\nTransfer-Encoding: chunked"};
  for (const auto& line : lines) {
    CAPTURE(line);
    REQUIRE_FALSE(classify_text(with_line(line)));
  }
}
