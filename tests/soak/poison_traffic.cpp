#include "soak/poison_traffic.hpp"

#include <algorithm>

namespace sailgate::soak {

namespace {

namespace http = net::http;
using test::EngineEnd;
using test::EngineReply;

constexpr std::size_t kEngines = 12;
constexpr int kPoisonCallers = 2;
constexpr int kHarmlessCallers = 6;
constexpr int kMostAttempts = 7;
constexpr net::Millis kRequestTime{1000};
constexpr std::uint64_t kShortestPauseMs = 100;
constexpr std::uint64_t kPauseSpreadMs = 300;
constexpr std::uint64_t kLongestRunMs = 120;
/// A process starts again soon, a machine that fell silent does not before its callers gave up.
constexpr std::uint64_t kShortestRestartMs = 300;
constexpr std::uint64_t kRestartSpreadMs = 900;
constexpr net::Millis kSilentRestart{2500};
constexpr net::Millis kRowPause{50};
constexpr std::int64_t kFirstStart = 1'700'000'000'000;
constexpr std::int64_t kStartStep = 2300;
const char* const kPoison = "poison";

std::string route(const std::string& name, const std::string& kind, const std::string& more) {
  return R"(,{"name":")" + name + R"(","host":"h","path_prefix":"/)" + name + R"(/","kind":")" +
         kind + R"(","timeout_ms":1000,"slo_ms":500,"priority":1,"service":"fragile",)" +
         R"("max_attempts":3,"retain_s":60,"public":true)" + more + "}";
}

}  // namespace

PoisonTraffic::PoisonTraffic(net::asio::io_context& context, SoakChecker& checker,
                             std::function<net::Endpoint()> node, WriteRow write_row,
                             std::uint64_t seed)
    : context_(context),
      checker_(checker),
      node_(std::move(node)),
      write_row_(std::move(write_row)),
      random_(seed),
      engines_(kEngines) {
  for (std::size_t i = 0; i < kEngines; ++i) {
    engines_[i].process = std::make_unique<test::FakeEngine>(context_);
    engines_[i].start = kFirstStart;
    engines_[i].process->set_script([this, i](const auto& request) { return answer(request, i); });
  }
}

std::string PoisonTraffic::routes() {
  return route("fragile-safe", "safe", "") + route("fragile-once", "unsafe", "") +
         route("fragile-stream", "stream", R"(,"resumable":true)");
}

std::string PoisonTraffic::service() { return R"(,{"name":"fragile","health_path":"/healthz"})"; }

std::string PoisonTraffic::entry(std::size_t index) const {
  const auto& engine = engines_[index];
  const auto endpoint = engine.process->endpoint();
  return R"({"service":"fragile","addr":")" + endpoint.address().to_string() + ":" +
         std::to_string(endpoint.port()) + R"(","zone":"zone)" + std::to_string(index % 2) +
         R"(","slots":16,"state":"ready","born":)" + std::to_string(engine.start) + "}";
}

std::map<std::string, std::string> PoisonTraffic::entries() const {
  std::map<std::string, std::string> all;
  for (std::size_t i = 0; i < kEngines; ++i) all[name_of(i)] = entry(i);
  return all;
}

EngineReply PoisonTraffic::answer(const net::TextRequest& request, std::size_t index) {
  if (request.body().rfind(kPoison, 0) == 0) return end_engine(request, index);
  const auto now = net::Clock::now();
  auto& runs = engines_[index].runs;
  runs.erase(
      std::remove_if(runs.begin(), runs.end(), [now](const auto& run) { return run.until <= now; }),
      runs.end());
  EngineReply reply;
  reply.delay = net::Millis(static_cast<std::int64_t>(random_.below(kLongestRunMs)));
  runs.push_back({request.body(), now + reply.delay});
  const std::string target(request.target().data(), request.target().size());
  if (target.rfind("/fragile-stream/", 0) != 0) {
    reply.bytes = test::engine_answer(request, "done");
    return reply;
  }
  const auto after = request["Last-Event-Id"];
  const int next = after.empty() ? 1 : std::stoi(std::string(after.data(), after.size())) + 1;
  reply.bytes = test::stream_head(request) + test::event_chunk(next, "done") + test::kLastChunk;
  return reply;
}

EngineReply PoisonTraffic::end_engine(const net::TextRequest& request, std::size_t index) {
  static constexpr EngineEnd kEnds[] = {EngineEnd::kClose, EngineEnd::kReset, EngineEnd::kSilence};
  const auto now = net::Clock::now();
  EngineReply reply;
  reply.end = kEnds[random_.below(std::size(kEnds))];
  ++ends_;
  checker_.engine_ended_under(request.body());
  for (const auto& run : engines_[index].runs) {
    if (run.until > now) checker_.engine_ended_under(run.body);
  }
  engines_[index].runs.clear();
  // Half of the engines get as far as the head of the response.
  if (random_.chance(50)) reply.bytes = test::stream_head(request);
  auto after = kSilentRestart;
  if (reply.end != EngineEnd::kSilence) {
    after = net::Millis(
        static_cast<std::int64_t>(kShortestRestartMs + random_.below(kRestartSpreadMs)));
  }
  net::asio::co_spawn(context_, start_again(index, after), net::asio::detached);
  return reply;
}

net::asio::awaitable<void> PoisonTraffic::start_again(std::size_t index, net::Millis after) {
  co_await net::sleep_for(context_, after);
  auto& engine = engines_[index];
  engine.start += kStartStep;
  engine.process->start_again();
  while (!co_await write_row_(name_of(index), entry(index))) {
    co_await net::sleep_for(context_, kRowPause);
  }
}

void PoisonTraffic::start() {
  for (int i = 0; i < kPoisonCallers + kHarmlessCallers; ++i) {
    ++callers_;
    net::asio::co_spawn(context_, run_caller(i < kPoisonCallers),
                        [this](const std::exception_ptr&) { --callers_; });
  }
}

net::asio::awaitable<void> PoisonTraffic::run_caller(bool poison) {
  while (!stopping_) {
    auto body = std::string(poison ? kPoison : "harmless") + " " + std::to_string(++requests_);
    co_await run_request(std::move(body));
  }
}

net::asio::awaitable<void> PoisonTraffic::run_request(std::string body) {
  static const char* const kPaths[] = {"/fragile-safe/x", "/fragile-once/x", "/fragile-stream/x"};
  const std::string path = kPaths[random_.below(std::size(kPaths))];
  const auto program = "program of " + body;
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    const auto answer = co_await send(path, program, body);
    if (answer.status == 200 && answer.whole) {
      ++served_;
      co_return;
    }
    if (answer.body.find("request_quarantined") != std::string::npos) {
      ++quarantined_;
      checker_.quarantined(body);
    }
    const auto pause = kShortestPauseMs + random_.below(kPauseSpreadMs);
    co_await net::sleep_for(context_, net::Millis(static_cast<std::int64_t>(pause)));
  }
}

net::asio::awaitable<PoisonTraffic::Answer> PoisonTraffic::send(std::string path,
                                                                std::string program,
                                                                std::string body) {
  Answer answer;
  net::beast::tcp_stream stream(context_);
  stream.expires_after(kRequestTime);
  net::Error error;
  co_await stream.async_connect(node_(), net::awaiting(error));
  if (error) co_return answer;
  const std::string bytes =
      "POST " + path + " HTTP/1.1\r\nHost: h\r\nSailgate-Request-Id: fragile-" +
      std::to_string(++attempts_) + "\r\nSailgate-Program: " + program +
      "\r\nSailgate-Deadline-Ms: " + std::to_string(kRequestTime.count()) +
      "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  co_await net::asio::async_write(stream, net::asio::buffer(bytes), net::awaiting(error));
  net::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  co_await http::async_read(stream, buffer, parser, net::awaiting(error));
  answer.whole = !error && parser.is_done();
  answer.status = parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
  answer.body = parser.get().body();
  co_return answer;
}

std::string PoisonTraffic::summary() const {
  return "  fragile engines: " + std::to_string(requests_) + " requests, " +
         std::to_string(served_) + " served, " + std::to_string(ends_) + " ends, " +
         std::to_string(quarantined_) + " attempts refused by quarantine\n";
}

}  // namespace sailgate::soak
