#include "soak/resumed_turns.hpp"

#include <sstream>

namespace sailgate::soak {

namespace {

namespace http = net::http;
using test::EngineReply;

constexpr std::size_t kEngines = 3;
constexpr int kCallers = 4;
constexpr int kTurns = 4;
constexpr int kEvents = 8;
constexpr int kMostAttempts = 60;
/// A turn whose resumption is refused so often in a row is begun anew.
constexpr int kRefusalsBeforeAnew = 2;
/// Chance that the engine breaks off before an event.
constexpr std::uint64_t kEngineBreakPercent = 5;
/// Chance that the caller's connection breaks before it has all that was sent.
constexpr std::uint64_t kCallerBreakPercent = 40;
constexpr net::Millis kRequestTime{3000};
constexpr std::uint64_t kShortestPauseMs = 50;
constexpr std::uint64_t kPauseSpreadMs = 300;

std::string text(net::beast::string_view view) { return {view.data(), view.size()}; }

std::vector<std::string> data_of(const std::string& body) {
  std::vector<std::string> events;
  std::istringstream lines(body);
  std::string line;
  std::string data;
  while (std::getline(lines, line)) {
    if (line.rfind("data: ", 0) == 0) data = line.substr(6);
    if (!line.empty() || data.empty()) continue;
    events.push_back(data);
    data.clear();
  }
  return events;
}

}  // namespace

ResumedTurns::ResumedTurns(net::asio::io_context& context, SoakChecker& checker,
                           std::function<net::Endpoint()> node, std::uint64_t seed)
    : context_(context), checker_(checker), node_(std::move(node)), random_(seed) {
  for (std::size_t i = 0; i < kEngines; ++i) {
    engines_.push_back(std::make_unique<test::FakeEngine>(context_));
    engines_.back()->set_script([this](const auto& request) { return answer(request); });
  }
}

std::string ResumedTurns::route() {
  return R"(,{"name":"talk","host":"h","path_prefix":"/talk/","kind":"stream","timeout_ms":3000,)"
         R"("slo_ms":500,"priority":1,"service":"talk","max_attempts":2,"retain_s":60,)"
         R"("retained":true,"resumable":true,"public":true})";
}

std::string ResumedTurns::service() { return R"(,{"name":"talk","health_path":"/healthz"})"; }

std::map<std::string, std::string> ResumedTurns::entries() const {
  std::map<std::string, std::string> all;
  for (std::size_t i = 0; i < kEngines; ++i) {
    const auto endpoint = engines_[i]->endpoint();
    all["talker-" + std::to_string(i)] =
        R"({"service":"talk","addr":")" + endpoint.address().to_string() + ":" +
        std::to_string(endpoint.port()) + R"(","zone":"zone)" + std::to_string(i % 2) +
        R"(","version":"v1","slots":16,"state":"ready","born":1700000000000})";
  }
  return all;
}

EngineReply ResumedTurns::answer(const net::TextRequest& request) {
  SeenRequest seen;
  seen.id = text(request["Sailgate-Request-Id"]);
  seen.body = request.body();
  checker_.run_began(seen, net::Clock::now());
  const auto after = text(request["Last-Event-Id"]);
  EngineReply reply;
  reply.bytes = test::stream_head(request);
  for (int event = after.empty() ? 1 : std::stoi(after) + 1; event <= kEvents; ++event) {
    if (random_.chance(kEngineBreakPercent)) {
      reply.close_after = true;
      return reply;
    }
    reply.bytes += test::event_chunk(event, seen.id + "." + std::to_string(event));
  }
  reply.bytes += test::kLastChunk;
  return reply;
}

void ResumedTurns::start() {
  for (int i = 0; i < kCallers; ++i) {
    ++callers_;
    net::asio::co_spawn(context_, run_caller(), [this](const std::exception_ptr&) { --callers_; });
  }
}

net::asio::awaitable<void> ResumedTurns::run_caller() {
  while (!stopping_) {
    const auto program = "talk-" + std::to_string(++programs_);
    std::string previous;
    for (int turn = 0; turn < kTurns; ++turn) {
      previous = co_await run_turn(program, previous);
      if (previous.empty()) break;
    }
  }
}

net::asio::awaitable<std::string> ResumedTurns::run_turn(std::string program,
                                                         std::string previous) {
  const auto input = "input " + std::to_string(random_.below(1000)) + " of " + program + "\n";
  std::vector<std::string> events;
  int refusals = 0;
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    const auto id = "talk-" + std::to_string(++attempts_);
    checker_.request_sent(id, "", program, previous, input, false);
    const auto had = events.size();
    auto answer = co_await send(id, program, previous, had, input);
    if (answer.status == 200) {
      refusals = 0;
      resumed_ += had > 0 ? 1 : 0;
      for (auto& event : answer.events) {
        events.push_back(std::move(event));
        const auto number = "." + std::to_string(events.size());
        const bool in_order = events.back().size() > number.size() &&
                              events.back().substr(events.back().size() - number.size()) == number;
        if (!in_order) checker_.mixed(id, "holds event " + events.back() + " as" + number);
      }
      const bool breaks = random_.chance(kCallerBreakPercent);
      if (breaks) events.resize(had + random_.below(events.size() - had + 1));
      if (answer.whole && !breaks) {
        std::string output;
        for (const auto& event : events) output += event + "\n";
        checker_.turn_answered(id, output);
        ++turns_;
        co_return id;
      }
    } else if (answer.whole) {
      checker_.refused(id, answer.status);
      refused_ += had > 0 ? 1 : 0;
      if (++refusals >= kRefusalsBeforeAnew) events.clear();
    }
    const auto pause = kShortestPauseMs + random_.below(kPauseSpreadMs);
    co_await net::sleep_for(context_, net::Millis(static_cast<std::int64_t>(pause)));
  }
  checker_.not_finished(program, "a turn failed " + std::to_string(kMostAttempts) + " times");
  co_return std::string();
}

net::asio::awaitable<ResumedTurns::Answer> ResumedTurns::send(std::string id, std::string program,
                                                              std::string previous,
                                                              std::size_t after,
                                                              std::string input) {
  Answer answer;
  net::beast::tcp_stream stream(context_);
  stream.expires_after(kRequestTime);
  net::Error error;
  co_await stream.async_connect(node_(), net::awaiting(error));
  if (error) co_return answer;
  std::string bytes = "POST /talk/x HTTP/1.1\r\nHost: h\r\nSailgate-Request-Id: " + id +
                      "\r\nSailgate-Program: " + program + "\r\nSailgate-Session: line" +
                      "\r\nSailgate-Deadline-Ms: " + std::to_string(kRequestTime.count()) +
                      "\r\nConnection: close\r\n";
  if (!previous.empty()) bytes += "Sailgate-Prev-Turn: " + previous + "\r\n";
  if (after > 0) bytes += "Last-Event-Id: " + std::to_string(after) + "\r\n";
  bytes += "Content-Length: " + std::to_string(input.size()) + "\r\n\r\n" + input;
  co_await net::asio::async_write(stream, net::asio::buffer(bytes), net::awaiting(error));
  net::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  co_await http::async_read(stream, buffer, parser, net::awaiting(error));
  answer.whole = !error && parser.is_done();
  answer.status = parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
  if (answer.status == 200) answer.events = data_of(parser.get().body());
  co_return answer;
}

std::string ResumedTurns::summary() const {
  return "  resumed turns: " + std::to_string(turns_) + " whole, " + std::to_string(attempts_) +
         " attempts, " + std::to_string(resumed_) + " resumed, " + std::to_string(refused_) +
         " resumptions refused\n";
}

}  // namespace sailgate::soak
