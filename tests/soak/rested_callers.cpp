#include "soak/rested_callers.hpp"

#include "net/socket_state.hpp"

namespace sailgate::soak {

namespace {

namespace http = net::http;

constexpr std::size_t kEngines = 6;
constexpr int kCallers = 160;
constexpr net::Millis kTimeout{3000};
constexpr std::uint64_t kShortestRestMs = 2000;
/// Callers pick up connections that have rested for up to four fifths of the idle timeout.
constexpr std::uint64_t kRestSpreadMs = 9800;
constexpr std::uint64_t kShortestRunMs = 100;
constexpr std::uint64_t kRunSpreadMs = 1400;
constexpr net::Millis kRestStep{100};
/// Requests that were sent so soon after the stop may be cut in the last sixth of the grace.
constexpr net::Millis kEarlyInStop{3000};
constexpr int kLastPart = 6;

std::string text(net::beast::string_view view) { return {view.data(), view.size()}; }

std::string route(const std::string& name, const std::string& kind) {
  return R"(,{"name":")" + name + R"(","host":"h","path_prefix":"/)" + name + R"(/","kind":")" +
         kind + R"(","timeout_ms":3000,"slo_ms":500,"priority":1,"service":"rested",)" +
         R"("max_attempts":1,"public":true})";
}

}  // namespace

bool excuses(const NodeStop& stop, net::TimePoint sent_at, net::TimePoint cut_at) {
  const bool early = sent_at <= stop.began + kEarlyInStop;
  return early && cut_at >= stop.began + stop.grace - stop.grace / kLastPart;
}

RestedCallers::RestedCallers(net::asio::io_context& context, SoakChecker& checker,
                             std::function<net::Endpoint()> node, std::uint64_t seed)
    : context_(context), checker_(checker), node_(std::move(node)), random_(seed) {
  for (std::size_t i = 0; i < kEngines; ++i) {
    engines_.push_back(std::make_unique<test::FakeEngine>(context_));
    engines_.back()->set_script([this](const auto& request) { return answer(request); });
  }
}

std::string RestedCallers::routes() {
  return route("rested-once", "unsafe") + route("rested-stream", "stream");
}

std::string RestedCallers::service() { return R"(,{"name":"rested","health_path":"/healthz"})"; }

std::map<std::string, std::string> RestedCallers::entries() const {
  std::map<std::string, std::string> all;
  for (std::size_t i = 0; i < kEngines; ++i) {
    const auto endpoint = engines_[i]->endpoint();
    all["rested-" + std::to_string(i)] =
        R"({"service":"rested","addr":")" + endpoint.address().to_string() + ":" +
        std::to_string(endpoint.port()) + R"(","zone":"zone)" + std::to_string(i % 2) +
        R"(","slots":16,"state":"ready","born":1700000000000})";
  }
  return all;
}

test::EngineReply RestedCallers::answer(const net::TextRequest& request) {
  SeenRequest seen;
  seen.id = text(request["Sailgate-Request-Id"]);
  seen.body = request.body();
  checker_.run_began(seen, net::Clock::now());
  ran_.insert(seen.id);
  test::EngineReply reply;
  reply.delay =
      net::Millis(static_cast<std::int64_t>(kShortestRunMs + random_.below(kRunSpreadMs)));
  const bool stream = text(request.target()).rfind("/rested-stream/", 0) == 0;
  reply.bytes = stream ? test::stream_head(request) + test::event_chunk(1, "d") + test::kLastChunk
                       : test::engine_answer(request, "done");
  return reply;
}

void RestedCallers::start() {
  for (int i = 0; i < kCallers; ++i) {
    ++callers_;
    net::asio::co_spawn(context_, run_caller(), [this](const std::exception_ptr&) { --callers_; });
  }
}

net::asio::awaitable<void> RestedCallers::rest() {
  const auto time = kShortestRestMs + random_.below(kRestSpreadMs);
  const auto until = net::Clock::now() + net::Millis(static_cast<std::int64_t>(time));
  while (!stopping_ && net::Clock::now() < until) co_await net::sleep_for(context_, kRestStep);
}

net::asio::awaitable<void> RestedCallers::run_caller() {
  Connection connection;
  co_await rest();
  while (!stopping_) {
    if (connection.stream != nullptr &&
        net::peek(connection.stream->socket()) == net::SocketState::kClosed) {
      connection.stream = nullptr;
    }
    if (connection.stream == nullptr) {
      connection.stream = std::make_unique<net::beast::tcp_stream>(context_);
      connection.node = node_();
      net::Error error;
      connection.stream->expires_after(kTimeout);
      co_await connection.stream->async_connect(connection.node, net::awaiting(error));
      if (error) {
        connection.stream = nullptr;
        co_await net::sleep_for(context_, kRestStep);
        continue;
      }
    }
    co_await send(connection);
    co_await rest();
  }
}

net::asio::awaitable<void> RestedCallers::send(Connection& connection) {
  const auto id = "rested-" + std::to_string(++requests_);
  const std::string path = random_.chance(50) ? "/rested-once/x" : "/rested-stream/x";
  const auto input = "input of " + id;
  checker_.request_sent(id, "", "", "", input, true);
  const auto sent_at = net::Clock::now();
  auto& stream = *connection.stream;
  stream.expires_after(2 * kTimeout);
  net::Error error;
  const std::string bytes = "POST " + path + " HTTP/1.1\r\nHost: h\r\nSailgate-Request-Id: " + id +
                            "\r\nSailgate-Deadline-Ms: " + std::to_string(kTimeout.count()) +
                            "\r\nContent-Length: " + std::to_string(input.size()) + "\r\n\r\n" +
                            input;
  co_await net::asio::async_write(stream, net::asio::buffer(bytes), net::awaiting(error));
  net::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  co_await http::async_read(stream, buffer, parser, net::awaiting(error));
  const bool whole = !error && parser.is_done();
  if (!whole) {
    judge_cut(id, connection.node, sent_at);
  } else if (parser.get().result_int() == 200) {
    ++answered_;
  } else {
    checker_.refused(id, static_cast<int>(parser.get().result_int()));
  }
  if (!whole || !parser.keep_alive()) connection.stream = nullptr;
}

void RestedCallers::judge_cut(const std::string& id, const net::Endpoint& node,
                              net::TimePoint sent_at) {
  const auto now = net::Clock::now();
  // Crossed the end of its connection, or reached its deadline.
  if (ran_.count(id) == 0 || now >= sent_at + kTimeout) return;
  const auto stop = stops_.find(node);
  if (stop != stops_.end() && excuses(stop->second, sent_at, now)) {
    ++excused_;
    return;
  }
  const auto after = std::chrono::duration_cast<net::Millis>(now - sent_at);
  checker_.dropped(id, "cut " + std::to_string(after.count()) + " ms after it was sent");
}

std::string RestedCallers::summary() const {
  return "  rested connections: " + std::to_string(requests_) + " requests, " +
         std::to_string(answered_) + " answered, " + std::to_string(excused_) +
         " cut and excused\n";
}

}  // namespace sailgate::soak
