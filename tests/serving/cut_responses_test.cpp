#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "net/http_client.hpp"
#include "serving/engine_probe.hpp"
#include "support/gateway_fixture.hpp"

using namespace sailgate;
using test::engine_answer;
using test::EngineReply;
using test::GatewayFixture;
using test::id_line;
using test::run;
using test::run_until;

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
const std::string kHealthy = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

using Response = std::function<std::string(const net::TextRequest&)>;

struct Shape {
  const char* name;
  Response response;
};

std::string chunked(const net::TextRequest& request) {
  return "HTTP/1.1 200 OK\r\nSailgate-Seal: seal\r\n" + id_line(request) +
         "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
}

std::string length_first(const net::TextRequest& request) {
  return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nSailgate-Seal: seal\r\n" + id_line(request) +
         "\r\nwhole";
}

std::string without_content(const net::TextRequest& request) {
  return "HTTP/1.1 204 No Content\r\nSailgate-Seal: seal\r\n" + id_line(request) + "\r\n";
}

/// The response to an earlier request comes first.
std::string after_another(const net::TextRequest& request) {
  return "HTTP/1.1 200 OK\r\nSailgate-Seal: seal\r\nSailgate-Request-Id: other\r\n"
         "Content-Length: 5\r\n\r\nother" +
         engine_answer(request, "whole");
}

std::string after_interim(const net::TextRequest& request) {
  return "HTTP/1.1 100 Continue\r\n\r\n" + engine_answer(request, "whole");
}

const Shape kShapes[] = {
    {"length last", [](const auto& request) { return engine_answer(request, "whole"); }},
    {"length first", length_first},
    {"chunked", chunked},
    {"no content", without_content},
    {"after another response", after_another},
    {"after an interim response", after_interim},
};

/// How an engine ends a response that it does not finish.
enum class Ending { kClose, kReset, kSilence };

/// An engine that cuts its responses. Each request has a target of its own, so that none is taken
/// for a repeat of another.
struct Fixture : GatewayFixture {
  std::size_t whole_size = 0;
  int requests = 0;

  void cut_at(std::size_t size, const Response& response, Ending ending) {
    engine.set_script([this, size, response, ending](const auto& request) {
      EngineReply reply{response(request)};
      whole_size = reply.bytes.size();
      reply.bytes.resize(std::min(size, whole_size));
      reply.close_after = ending == Ending::kClose;
      reply.reset_after = ending == Ending::kReset;
      reply.hold = ending == Ending::kSilence;
      return reply;
    });
  }

  std::string next_request(const std::string& path, const std::string& method = "GET") {
    const auto number = std::to_string(++requests);
    return request(method, path + "x" + number,
                   "Sailgate-Request-Id: c-" + number + "\r\nSailgate-Deadline-Ms: 300\r\n");
  }

  /// Leaves a connection to the engine for the next request.
  void keep_connection() {
    engine.set_script(
        [](const auto& request) { return EngineReply{engine_answer(request, "ok")}; });
    REQUIRE(ask(next_request("/unsafe/")).status == 200);
  }

  balancing::EnginePointer listed_engine() {
    const auto listed = gateway->state().engines.find("e-1");
    REQUIRE(listed != nullptr);
    return listed;
  }

  static bool is_success(const test::CallerAnswer& answer) {
    return answer.whole && answer.status >= 200 && answer.status < 300;
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a response cut anywhere is never delivered as a whole one",
                 "[serving]") {
  const std::string path = GENERATE("/safe/", "/unsafe/");
  const auto ending = GENERATE(Ending::kClose, Ending::kReset);
  // A reset takes time, since what was written before has to be read.
  const std::size_t step = ending == Ending::kReset ? 11 : 1;
  start();
  for (const auto& shape : kShapes) {
    std::size_t size = 0;
    do {
      keep_connection();
      cut_at(size, shape.response, ending);
      const auto answer = ask(next_request(path));
      CAPTURE(shape.name, path, static_cast<int>(ending), size, answer.status, answer.body);
      REQUIRE_FALSE(is_success(answer));
      size += step;
    } while (size < whole_size);
  }
}

TEST_CASE_METHOD(Fixture, "a response that falls silent anywhere is never delivered as a whole one",
                 "[serving]") {
  constexpr std::size_t kStep = 23;
  start();
  for (const auto& shape : kShapes) {
    std::size_t size = 0;
    do {
      keep_connection();
      cut_at(size, shape.response, Ending::kSilence);
      const auto answer = ask(next_request("/unsafe/"));
      CAPTURE(shape.name, size, answer.status);
      REQUIRE_FALSE(is_success(answer));
      size += kStep;
    } while (size < whole_size);
  }
}

TEST_CASE_METHOD(Fixture, "a stream cut anywhere is never delivered as a whole one", "[serving]") {
  const std::string path = GENERATE("/stream/", "/resumable/", "/turns/");
  const auto stream = [](const net::TextRequest& request) {
    return test::stream_head(request) + test::event_chunk(1, "a") + test::event_chunk(2, "b") +
           test::kLastChunk;
  };
  start();
  std::size_t size = 0;
  do {
    keep_connection();
    cut_at(size, stream, Ending::kClose);
    const auto answer = ask(next_request(path, "POST"));
    CAPTURE(path, size, answer.status, answer.body);
    REQUIRE_FALSE(is_success(answer));
    ++size;
  } while (size < whole_size);
}

TEST_CASE_METHOD(Fixture, "a refusal whose head is cut does not count as one that has not run",
                 "[serving]") {
  const auto refusal = [](const net::TextRequest&) {
    return std::string("HTTP/1.1 503 Busy\r\nSailgate-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy");
  };
  const auto head_size = refusal({}).find("busy");
  start();
  std::size_t size = 0;
  do {
    keep_connection();
    cut_at(size, refusal, Ending::kClose);
    const auto answer = ask(next_request("/unsafe/"));
    CAPTURE(size, head_size, answer.status);
    REQUIRE(answer.status == (size < head_size ? kBadGateway : kUnavailable));
    ++size;
  } while (size < whole_size);
}

TEST_CASE_METHOD(Fixture, "a health response whose head is cut is no sign of life", "[serving]") {
  // Longer than the test can wait, so that only the engine's close ends the probe.
  constexpr net::Millis kNoTimeout = std::chrono::hours(1);
  start();
  std::size_t size = 0;
  engine.set_health_script([&](const auto&) {
    EngineReply reply{kHealthy.substr(0, size)};
    reply.close_after = true;
    return reply;
  });
  const auto listed = listed_engine();
  for (; size < kHealthy.size(); ++size) {
    CAPTURE(size);
    const auto closes = engine.closed_after();
    const auto fate =
        run(context, serving::probe_engine(gateway->state(), listed, "/healthz", kNoTimeout));
    REQUIRE(fate == balancing::EngineFate::kUnknown);
    REQUIRE(engine.closed_after() == closes + 1);
  }
}

TEST_CASE_METHOD(Fixture, "a health response that falls silent is no sign of life", "[serving]") {
  const auto size = GENERATE(std::size_t{0}, kHealthy.find("\r\n\r\n"), kHealthy.size() - 1);
  start();
  engine.set_health_script([&](const auto&) {
    EngineReply reply{kHealthy.substr(0, size)};
    reply.hold = true;
    return reply;
  });
  CAPTURE(size);
  const auto fate =
      run(context, serving::probe_engine(gateway->state(), listed_engine(), "/healthz"));
  REQUIRE(fate == balancing::EngineFate::kUnknown);
  run_until(context, [this] { return engine.abandoned() == 1; });
}

TEST_CASE_METHOD(Fixture, "a response of the store or of a peer that is cut is none", "[serving]") {
  const Shape shape = GENERATE(Shape{"length",
                                     [](const auto&) {
                                       return std::string(
                                           "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"
                                           R"({"rows":[]})");
                                     }},
                               Shape{"chunked", chunked});
  std::size_t size = 0;
  do {
    cut_at(size, shape.response, Ending::kClose);
    net::HttpClient client(context, engine.endpoint());
    net::TextRequest request;
    request.method(net::http::verb::get);
    request.target("/rows");
    const auto exchange = run(context, client.exchange(std::move(request), net::Millis(500)));
    CAPTURE(shape.name, size);
    REQUIRE(exchange.failure == net::ExchangeFailure::kNoResponse);
    ++size;
  } while (size < whole_size);
}
