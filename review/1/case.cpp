// A planned stop of one of three nodes. Clients hold kept connections that have rested for less
// than four fifths of idle_timeout_ms and use them again. Shows which requests the stopping node
// takes, passes on and then drops.
#include "../engine.hpp"

using namespace lab;

namespace {

constexpr int kNodes = 3;
constexpr int kClients = 150;
constexpr long kIdleTimeout = 15000;
constexpr long kLongestRest = kIdleTimeout * 4 / 5 - 200;
constexpr long kTimeout = 3000;  // of the route, and the clients' deadline
constexpr long kTurnTimeout = 4000;
constexpr long kTrafficFrom = 6000;
constexpr long kStopAt = 20000;
constexpr long kGrace = 8000;
constexpr long kTrafficTo = 34000;

struct Sent {
  std::string id;
  std::size_t node = 0;
  int client = 0;
  bool kept = false;      ///< on a connection that had rested
  long at = 0;            ///< last byte sent
  long answered = -1;     ///< end of the answer
  long closed = -1;       ///< the connection closed without a whole answer
  int status = 0;
  long patience = 0;      ///< deadline, which is also the route's timeout
};

std::mutex mutex;
std::vector<Sent> all;
std::atomic<std::uint64_t> numbers{1};

void client(int number, std::vector<Node>& nodes, Balancer& balancer) {
  std::mt19937 random(static_cast<unsigned>(1000 + number));
  Connection connection;
  std::size_t node = 0;
  sleep_until_ms(kTrafficFrom + static_cast<long>(random() % 4000));
  while (now_ms() < kTrafficTo) {
    bool kept = true;
    if (connection.stale()) {
      kept = false;
      node = balancer.pick(static_cast<std::size_t>(number));
      if (!connection.open(nodes[node])) {
        sleep_ms(100);
        continue;
      }
    }
    Sent sent;
    sent.id = request_id(numbers++);
    sent.node = node;
    sent.client = number;
    sent.kept = kept;
    const std::string body(600, 'b');
    const bool turn = random() % 2 == 0;
    const long patience = turn ? kTurnTimeout : kTimeout;
    sent.patience = patience;
    const auto text = std::string(turn ? "POST /plan/1" : "POST /book/1") +
                      " HTTP/1.1\r\nHost: app.example\r\nSailgate-Request-Id: " + sent.id +
                      "\r\nSailgate-Deadline-Ms: " + std::to_string(patience) +
                      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const bool written = connection.send(text);
    sent.at = now_ms();
    record().line("send   " + sent.id + " client " + std::to_string(number) + " to " +
                  nodes[node].name + (kept ? " on a kept connection" : " on a new connection"));
    Message answer;
    const auto end = written ? connection.reader().whole(answer, sent.at + patience + 500)
                             : ReadEnd::kClosed;
    if (end == ReadEnd::kWhole) {
      sent.answered = now_ms();
      sent.status = answer.status();
      record().line("answer " + sent.id + " " + std::to_string(sent.status));
    } else {
      sent.closed = now_ms();
      record().line("answer " + sent.id +
                    (end == ReadEnd::kClosed ? " none: connection closed" : " none in time"));
    }
    {
      const std::lock_guard<std::mutex> guard(mutex);
      all.push_back(sent);
    }
    if (end != ReadEnd::kWhole ||
        ::strcasecmp(answer.field("Connection").c_str(), "close") == 0) {
      connection.close();
    }
    sleep_ms(3000 + static_cast<long>(random() % (kLongestRest - 3000)));
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  origin();
  ::signal(SIGPIPE, SIG_IGN);
  record().open(argv[1]);
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  static Store store;
  store.start();
  static Runs runs;
  static std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 9; ++i) {
    engines.push_back(std::make_unique<Engine>());
    auto& engine = *engines.back();
    engine.id = "i-app" + std::to_string(i);
    engine.service = "app";
    engine.slots = 6;
    // The sheet's row of roster-fetch: 104 ms in the mean, 800 at most.
    engine.work_ms = [](const Message& request) {
      std::mt19937 random(static_cast<unsigned>(
          std::hash<std::string>{}(request.field("Sailgate-Request-Id"))));
      return std::min(800L, static_cast<long>(std::exponential_distribution<>(1.0 / 104)(random)));
    };
    engine.start(store, runs);
  }
  for (int i = 0; i < 11; ++i) {
    engines.push_back(std::make_unique<Engine>());
    auto& engine = *engines.back();
    engine.id = "i-llm" + std::to_string(i);
    engine.service = "llm";
    engine.slots = 12;
    // Events of a turn: 8, with pauses below the sheet's 200 ms.
    engine.events = 8;
    engine.work_ms = [](const Message&) { return 180L; };
    engine.start(store, runs);
  }
  const Json configuration{
      {"version", 7},
      {"routes", Json::array({Json{{"name", "r-book"},
                                   {"host", "app.example"},
                                   {"path_prefix", "/book/"},
                                   {"kind", "unsafe"},
                                   {"timeout_ms", kTimeout},
                                   {"slo_ms", 500},
                                   {"priority", 2},
                                   {"service", "app"},
                                   {"max_attempts", 1}},
                              Json{{"name", "r-plan"},
                                   {"host", "app.example"},
                                   {"path_prefix", "/plan/"},
                                   {"kind", "stream"},
                                   {"timeout_ms", kTurnTimeout},
                                   {"slo_ms", 200},
                                   {"gap_aim_ms", 200},
                                   {"priority", 0},
                                   {"service", "llm"},
                                   {"max_attempts", 1},
                                   {"retained", false},
                                   {"resumable", true}}})},
      {"services", Json::array({Json{{"name", "llm"},
                                     {"health_path", "/healthz"},
                                     {"max_conns", 160},
                                     {"protocol", "h1"},
                                     {"tls", false},
                                     {"engine", Json{{"slots", 12}, {"chunk_tokens", 9}}}},
                                Json{{"name", "app"},
                                     {"health_path", "/healthz"},
                                     {"max_conns", 110},
                                     {"protocol", "h1"},
                                     {"tls", false}}})},
      {"limits", Json{{"max_header_bytes", 16384},
                      {"max_body_bytes", 4194304},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", kIdleTimeout}}}};
  store.put("op", "config", configuration.dump());
  static std::vector<Node> nodes;
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(make_node("edge-" + std::to_string(i + 1), "rennes", store.port()));
  }
  static Balancer balancer;
  balancer.start(&nodes);
  sleep_until_ms(5000);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (balancer.in(i) && !ended(nodes[i].pid)) continue;
    std::fprintf(stderr, "node %s is not ready\n", nodes[i].name.c_str());
    finish(2);
  }
  for (int i = 0; i < kClients; ++i) {
    std::thread([i] { client(i, nodes, balancer); }).detach();
  }
  sleep_until_ms(kStopAt);
  long ended_at = -1;
  const long stop_at = now_ms();
  if (trouble) {
    record().line("SIGTERM to " + nodes[0].name);
    ::kill(nodes[0].pid, SIGTERM);
  }
  while (now_ms() < kTrafficTo + kTimeout + 1000) {
    if (ended_at < 0 && ended(nodes[0].pid)) {
      ended_at = now_ms();
      record().line("process of " + nodes[0].name + " has ended " +
                    std::to_string(ended_at - stop_at) + " ms after the SIGTERM");
    }
    if (trouble && ended_at < 0 && now_ms() > stop_at + kGrace) ::kill(nodes[0].pid, SIGKILL);
    sleep_ms(20);
  }
  int lost = 0;
  int answered = 0;
  int late = 0;
  const std::lock_guard<std::mutex> guard(mutex);
  for (const auto& sent : all) {
    if (sent.answered >= 0) {
      ++answered;
      continue;
    }
    const auto ran = runs.of(sent.id);
    // The deadline or the route's timeout was reached.
    const bool out_of_time = sent.closed >= sent.at + sent.patience;
    // Not passed on: it crossed the close, or was cut soon after its last byte.
    const bool counts = !ran.empty() && !out_of_time;
    const bool around = !trouble || (sent.node == 0 && sent.closed >= stop_at &&
                                     sent.at <= stop_at + kGrace + 1000);
    // Excused: still worked on in the last sixth of grace_s and sent at most 3 s after the SIGTERM.
    const bool excused = trouble && sent.at <= stop_at + 3000 &&
                         sent.closed >= stop_at + kGrace - kGrace / 6;
    if (!counts || !around) {
      ++late;
      continue;
    }
    record().line("judged " + sent.id + ": sent " + std::to_string(sent.at - stop_at) +
                  " ms after the SIGTERM, passed on to " + ran[0].engine + ", closed unanswered " +
                  std::to_string(sent.closed - sent.at) + " ms later" +
                  (excused ? " (excused)" : " (LOST)"));
    if (!excused) ++lost;
  }
  char text[200];
  std::snprintf(text, sizeof(text), "result: %zu requests, %d answered, %d lost, %d other", all.size(),
                answered, lost, late);
  record().line(text);
  std::printf("%s\n", text);
  std::fflush(stdout);
  if (answered < 100) finish(2);
  finish(lost > 0 ? 1 : 0);
}
