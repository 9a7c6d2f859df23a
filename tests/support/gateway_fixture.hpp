/// @file A whole gateway on loopback over a table in memory, with engines that a test scripts.
#pragma once

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "edge_headers.hpp"
#include "records.hpp"
#include "serving/gateway.hpp"
#include "support/fake_engine.hpp"
#include "support/loopback_endpoints.hpp"
#include "support/memory_table.hpp"
#include "support/run.hpp"

namespace sailgate::test {

/// Answer as a caller saw it.
struct CallerAnswer {
  int status = 0;
  std::string body;
  bool whole = false;  ///< the answer did not end early
  net::http::response_header<> head;
};

struct GatewayFixture {
  net::asio::io_context context;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> log_file{std::tmpfile(), std::fclose};
  observe::StructuredLog log{fileno(log_file.get())};
  MemoryTable table{context};
  platform::EdgeHeaders protocol;
  platform::Records records;
  FakeEngine engine{context};
  FakeEngine other{context};
  serving::NodeSettings settings = make_settings();
  std::unique_ptr<serving::Gateway> gateway;
  int max_body_bytes = 5000;

  serving::NodeSettings make_settings() {
    serving::NodeSettings made;
    made.node = "node-1";
    made.zone = "zone";
    made.callers = own_endpoint();
    made.readiness = own_endpoint();
    made.peers = own_endpoint();
    made.store = made.peers;
    made.mechanisms.escrow =
        false;  // budgets are in their rows whole, so that these can be looked at
    return made;
  }

  static std::string route(const std::string& prefix, const std::string& kind,
                           const std::string& more = "", int max_engines = 1) {
    return R"({"name":")" + kind + R"(","host":"h","path_prefix":")" + prefix + R"(","kind":")" +
           kind + R"(","timeout_ms":2000,"slo_ms":200,"priority":1,)" +
           R"("service":"app","retain_s":60,"max_attempts":)" + std::to_string(max_engines) + more +
           "}";
  }

  /// @param more_routes each with a comma in front. @param tenants as JSON; empty: none are named.
  void put_configuration(int version, const std::string& more_routes = "",
                         const std::string& tenants = "") {
    const auto named = tenants.empty() ? std::string() : R"("tenants":[)" + tenants + "],";
    table.put(
        "op", "", "config",
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("/safe/", "safe") +
            "," + route("/unsafe/", "unsafe") + "," + route("/stream/", "stream") + "," +
            route("/resumable/", "stream", R"(,"resumable":true)") + "," +
            route("/turns/", "stream", R"(,"retained":true)") + more_routes +
            R"(],"services":[{"name":"app","health_path":"/healthz","engine":{"chunk_tokens":10}}],)" +
            named + R"("limits":{"max_header_bytes":2000,"max_body_bytes":)" +
            std::to_string(max_body_bytes) + R"(,)" +
            R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
  }

  /// @param more fields, each with a comma in front.
  void put_engine(const std::string& id, const FakeEngine& fake, const char* state = "ready",
                  const std::string& more = "") {
    put_engine(id, fake.endpoint(), state, more);
  }
  void put_engine(const std::string& id, const net::Endpoint& endpoint, const char* state = "ready",
                  const std::string& more = "") {
    table.put("servers", "", id,
              R"({"service":"app","addr":"127.0.0.1:)" + std::to_string(endpoint.port()) +
                  R"(","zone":"zone","slots":4,"state":")" + state + "\"" + more + "}");
  }

  /// Starts a gateway that knows a configuration and the engines given.
  void start(bool two_engines = false) {
    put_configuration(1);
    put_engine("e-1", engine);
    if (two_engines) put_engine("e-2", other);
    start_unconfigured();
    run_until(context, [this] { return gateway->ready(); });
  }

  void start_unconfigured() {
    gateway =
        std::make_unique<serving::Gateway>(context, settings, protocol, records, table, log, 7);
    gateway->start();
  }

  static bool hears(serving::Gateway& node, const std::string& peer) {
    const auto& peers = node.state().peers.peers();
    const auto known = peers.find(peer);
    return known != peers.end() && known->second.has_reported;
  }

  /// Starts a further gateway, which hears the first one and is heard by it.
  std::unique_ptr<serving::Gateway> start_second(const serving::NodeSettings& its_settings) {
    auto second =
        std::make_unique<serving::Gateway>(context, its_settings, protocol, records, table, log, 8);
    second->start();
    run_until(context, [&] {
      return second->ready() && hears(*gateway, its_settings.node) && hears(*second, settings.node);
    });
    return second;
  }

  static std::string request(const std::string& method, const std::string& path,
                             const std::string& headers = "", const std::string& body = "") {
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: h\r\n";
    if (headers.find("Sailgate-Request-Id") == std::string::npos) {
      text += "Sailgate-Request-Id: r-1\r\n";
    }
    text += headers;
    if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
  }

  net::asio::awaitable<CallerAnswer> exchange(std::string bytes) {
    net::beast::tcp_stream stream(context);
    net::Error error;
    co_await stream.async_connect(settings.callers, net::awaiting(error));
    co_await net::asio::async_write(stream, net::asio::buffer(bytes), net::awaiting(error));
    net::beast::flat_buffer buffer;
    net::http::response_parser<net::http::string_body> parser;
    parser.body_limit(1U << 20U);
    co_await net::http::async_read(stream, buffer, parser, net::awaiting(error));
    CallerAnswer answer;
    answer.whole = !error && parser.is_done();
    answer.status = parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
    answer.head = parser.get().base();
    answer.body = parser.get().body();
    co_return answer;
  }

  /// Lines of the log so far that hold all of these texts.
  int logged(const std::vector<std::string>& texts) {
    log.flush();
    std::rewind(log_file.get());
    int count = 0;
    std::string line;
    for (int c = 0; (c = std::fgetc(log_file.get())) != EOF;) {
      line += static_cast<char>(c);
      if (c != '\n') continue;
      bool all = true;
      for (const auto& text : texts) all = all && line.find(text) != std::string::npos;
      count += all ? 1 : 0;
      line.clear();
    }
    return count;
  }

  CallerAnswer ask(const std::string& bytes) { return run(context, exchange(bytes)); }
};

}  // namespace sailgate::test
