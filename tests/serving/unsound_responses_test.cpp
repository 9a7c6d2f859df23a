#include <catch2/catch.hpp>
#include <string>

#include "net/http_client.hpp"
#include "serving/engine_probe.hpp"
#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::EngineReply;
using test::GatewayFixture;
using test::id_line;
using test::run;

namespace {

const std::string kRoutes[] = {"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x", "/turns/x"};
constexpr int kBadGateway = 502;

std::string response(const net::TextRequest& request, const std::string& status,
                     const std::string& lines) {
  return "HTTP/1.1 " + status + " Reason\r\nSailgate-Seal: seal\r\n" + id_line(request) + lines +
         "\r\n";
}

std::string whole(const net::TextRequest& request) {
  return test::engine_answer(request, "id: 1\ndata: the-event\n\n");
}

struct Fixture : GatewayFixture {
  Fixture() { start(); }
  /// Each response ends with its connection, so that none of it can be taken for the next one.
  test::CallerAnswer ask_all(const std::string& route, const std::string& status,
                             const std::string& lines, const std::string& body) {
    engine.set_script([=](const auto& request) {
      return EngineReply{response(request, status, lines) + body, true, false};
    });
    return ask(request("POST", route, "", "in"));
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a response whose status is none of HTTP is not passed on", "[serving]") {
  for (const auto& route : kRoutes) {
    for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
      CAPTURE(route, status);
      const auto got = ask_all(route, status, "Content-Length: 5\r\n", "wrong");
      REQUIRE(got.whole);
      REQUIRE(got.status == kBadGateway);
      REQUIRE(got.body.find("wrong") == std::string::npos);
      REQUIRE(got.head.count("Sailgate-Seal") == 0);
    }
  }
}

TEST_CASE_METHOD(Fixture, "a body in an unknown transfer coding is not passed on", "[serving]") {
  for (const auto& route : kRoutes) {
    for (const char* coding : {"gzip", "chunked, gzip", "gzip, chunked"}) {
      CAPTURE(route, coding);
      const auto got = ask_all(route, "200", std::string("Transfer-Encoding: ") + coding + "\r\n",
                               "5\r\nwrong\r\n0\r\n\r\n");
      REQUIRE(got.whole);
      REQUIRE(got.status == kBadGateway);
      REQUIRE(got.body.find("wrong") == std::string::npos);
    }
  }
}

TEST_CASE_METHOD(Fixture, "an interim response is not the response", "[serving]") {
  for (const auto& route : kRoutes) {
    for (const char* status : {"100", "102", "103", "199"}) {
      CAPTURE(route, status);
      engine.set_script([=](const auto& request) {
        return EngineReply{
            response(request, status, "") + response(request, status, "") + whole(request), false,
            false};
      });
      const auto got = ask(request("POST", route, "", "in"));
      REQUIRE(got.whole);
      REQUIRE(got.status == 200);
      REQUIRE(got.body.find("the-event") != std::string::npos);
      const auto nothing_follows = ask_all(route, status, "", "");
      REQUIRE(nothing_follows.whole);
      REQUIRE(nothing_follows.status == kBadGateway);
    }
  }
}

TEST_CASE_METHOD(Fixture, "interim responses without end are given up", "[serving]") {
  engine.set_script([](const auto&) {
    EngineReply reply;
    reply.endless = "HTTP/1.1 100 Continue\r\n\r\n";
    return reply;
  });
  const auto got = ask(request("POST", "/unsafe/x", "", "in"));
  REQUIRE(got.whole);
  REQUIRE(got.status == kBadGateway);
}

TEST_CASE_METHOD(Fixture, "a health response whose status is none of HTTP is no sign of life",
                 "[serving]") {
  const auto listed = gateway->state().engines.find("e-1");
  const auto probe = [&](const std::string& bytes) {
    engine.set_health_script([=](const auto&) { return EngineReply{bytes, true, false}; });
    return run(context, serving::probe_engine(gateway->state(), listed, "/healthz"));
  };
  const std::string rest = " Reason\r\nSailgate-Instance: e-1\r\nContent-Length: 0\r\n\r\n";
  REQUIRE(probe("HTTP/1.1 200" + rest) == balancing::EngineFate::kAlive);
  REQUIRE(probe("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200" + rest) ==
          balancing::EngineFate::kAlive);
  for (const char* status : {"000", "099", "101", "600"}) {
    CAPTURE(status);
    REQUIRE(probe("HTTP/1.1 " + (status + rest)) == balancing::EngineFate::kUnknown);
  }
}

TEST_CASE_METHOD(GatewayFixture, "the store and peers are not believed in an unsound response",
                 "[net]") {
  net::HttpClient client(context, engine.endpoint());
  const auto exchange = [&](const std::string& bytes) {
    engine.set_script([=](const auto&) { return EngineReply{bytes, true, false}; });
    net::TextRequest request(net::http::verb::post, "/peer/x", 11);
    return run(context, client.exchange(std::move(request), net::Millis(5000)));
  };
  const std::string rest = " Reason\r\nContent-Length: 2\r\n\r\nok";
  REQUIRE(exchange("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200" + rest).response.body() == "ok");
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    CAPTURE(status);
    REQUIRE(exchange("HTTP/1.1 " + (status + rest)).failure == net::ExchangeFailure::kNoResponse);
  }
  REQUIRE(exchange("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok").failure ==
          net::ExchangeFailure::kNoResponse);
}
