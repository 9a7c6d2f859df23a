// A node is killed while turns stream through it. The clients take their streams up at another node
// with Last-Event-Id, get the rest and go on with a next turn. Shows what the engine gets as the
// chain of that next turn.
#include "../engine.hpp"

using namespace lab;

namespace {

constexpr int kNodes = 3;
constexpr int kPrograms = 6;
constexpr int kEvents = 8;
constexpr long kEventMs = 150;
constexpr long kTimeout = 4000;
constexpr long kTurnsFrom = 7000;
constexpr long kKillAt = kTurnsFrom + 600;

/// An engine that keeps the bodies that it got, by request id.
class KeepingEngine : public Engine {
 public:
  std::mutex* mutex = nullptr;
  std::map<std::string, std::string>* bodies = nullptr;

 protected:
  void run(int fd, const Message& request, const std::string& request_id) override {
    {
      const std::lock_guard<std::mutex> guard(*mutex);
      (*bodies)[request_id] = request.body;
    }
    Engine::run(fd, request, request_id);
  }
};

std::mutex mutex;
std::map<std::string, std::string> bodies;
std::atomic<std::uint64_t> numbers{1};
std::atomic<int> broken{0};
std::atomic<int> wrong{0};
std::atomic<int> right{0};
std::atomic<int> unfinished{0};

/// What a client has of one turn.
struct Turn {
  std::string id;       ///< of the attempt that ended the turn
  std::string output;   ///< the data of each event, followed by a line feed
  int last_event = 0;
  bool whole = false;
};

/// Takes the whole events of an answer's body.
void take_events(const std::string& body, Turn& turn) {
  std::size_t at = 0;
  for (auto end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", at)) {
    const auto event = body.substr(at, end - at);
    at = end + 2;
    const auto data = event.find("data: ");
    turn.last_event = std::atoi(event.c_str() + 4);
    turn.output += event.substr(data + 6) + '\n';
  }
}

/// One attempt; goes on after turn.last_event if that isn't 0.
void attempt(Connection& connection, const std::string& program, const std::string& previous,
             const std::string& input, Turn& turn, const std::string& where) {
  turn.id = request_id(numbers++);
  std::string text = "POST /talk/1 HTTP/1.1\r\nHost: app.example\r\nSailgate-Request-Id: " + turn.id +
                     "\r\nSailgate-Program: " + program + "\r\nSailgate-Session: " + program +
                     "\r\nSailgate-Finish-Ms: 20000\r\nSailgate-Token-Budget: 20000" +
                     "\r\nSailgate-Tokens: 900,288\r\nSailgate-Deadline-Ms: " +
                     std::to_string(kTimeout) + "\r\nContent-Length: " +
                     std::to_string(input.size()) + "\r\n";
  if (!previous.empty()) text += "Sailgate-Prev-Turn: " + previous + "\r\n";
  if (turn.last_event > 0) text += "Last-Event-Id: " + std::to_string(turn.last_event) + "\r\n";
  record().line("send   " + turn.id + " to " + where +
                (previous.empty() ? "" : ", goes on from " + previous) +
                (turn.last_event > 0 ? ", after event " + std::to_string(turn.last_event) : ""));
  const long until = now_ms() + kTimeout + 500;
  Message answer;
  auto end = connection.send(text + "\r\n" + input) ? connection.reader().head(answer, until)
                                                    : ReadEnd::kClosed;
  if (end == ReadEnd::kWhole) end = connection.reader().body(answer, until);
  if (answer.status() == 200) take_events(answer.body, turn);
  turn.whole = end == ReadEnd::kWhole && answer.status() == 200;
  record().line("answer " + turn.id + " " + std::to_string(answer.status()) +
                (turn.whole ? " whole" : " broken off") + ", last event " +
                std::to_string(turn.last_event));
}

void program(int number, std::vector<Node>& nodes, Balancer& balancer) {
  const auto name = "p" + std::to_string(number);
  const auto input = "first input of " + name + ". ";
  sleep_until_ms(kTurnsFrom + number * 20);
  Turn first;
  std::string previous_id;
  for (int tries = 0; tries < 6 && !first.whole; ++tries) {
    // The first attempts meet the node that is killed.
    const auto node = tries == 0 ? 0 : balancer.pick(static_cast<std::size_t>(number));
    Connection connection;
    if (!connection.open(nodes[node])) {
      sleep_ms(300);
      continue;
    }
    attempt(connection, name, "", input, first, nodes[node].name);
    if (!first.whole) {
      ++broken;
      sleep_ms(300);
    }
  }
  const auto next_input = "second input of " + name + ".";
  const auto expected = input + first.output + next_input;
  Turn second;
  for (int tries = 0; tries < 3 && first.whole && !second.whole; ++tries) {
    sleep_ms(300);
    const auto node = balancer.pick(static_cast<std::size_t>(number));
    Connection connection;
    if (!connection.open(nodes[node])) continue;
    second = Turn{};
    attempt(connection, name, first.id, next_input, second, nodes[node].name);
  }
  std::string got;
  {
    const std::lock_guard<std::mutex> guard(mutex);
    const auto body = bodies.find(second.id);
    if (body != bodies.end()) got = body->second;
  }
  if (!second.whole || first.last_event != kEvents) {
    ++unfinished;
    record().line("judged " + name + ": not finished");
    return;
  }
  const auto quoted = [](const std::string& text) { return Json(text).dump(); };
  record().line("judged " + name + (got == expected ? ": right" : ": WRONG (UNASKED)"));
  record().line("       the client had  " + quoted(expected));
  record().line("       the engine got  " + quoted(got));
  ++(got == expected ? right : wrong);
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
  static std::vector<std::unique_ptr<KeepingEngine>> engines;
  for (int i = 0; i < 4; ++i) {
    engines.push_back(std::make_unique<KeepingEngine>());
    auto& engine = *engines.back();
    engine.id = "i-llm" + std::to_string(i);
    engine.service = "llm";
    engine.slots = 12;
    engine.events = kEvents;
    engine.work_ms = [](const Message&) { return kEventMs; };
    engine.mutex = &mutex;
    engine.bodies = &bodies;
    engine.start(store, runs);
  }
  const Json configuration{
      {"version", 7},
      {"routes", Json::array({Json{{"name", "r-talk"},
                                   {"host", "app.example"},
                                   {"path_prefix", "/talk/"},
                                   {"kind", "stream"},
                                   {"timeout_ms", kTimeout},
                                   {"slo_ms", 200},
                                   {"gap_aim_ms", 200},
                                   {"priority", 0},
                                   {"service", "llm"},
                                   {"max_attempts", 1},
                                   {"retained", true},
                                   {"retain_s", 60.0},
                                   {"sticky", true},
                                   {"resumable", true}}})},
      {"services", Json::array({Json{{"name", "llm"},
                                     {"health_path", "/healthz"},
                                     {"max_conns", 160},
                                     {"protocol", "h1"},
                                     {"tls", false},
                                     {"engine", Json{{"slots", 12}, {"chunk_tokens", 9}}}}})},
      {"limits", Json{{"max_header_bytes", 16384},
                      {"max_body_bytes", 4194304},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}}};
  store.put("op", "config", configuration.dump());
  static std::vector<Node> nodes;
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(make_node("edge-" + std::to_string(i + 1), "rennes", store.port()));
  }
  static Balancer balancer;
  balancer.start(&nodes);
  sleep_until_ms(5500);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    if (balancer.in(i) && !ended(nodes[i].pid)) continue;
    std::fprintf(stderr, "node %s is not ready\n", nodes[i].name.c_str());
    finish(2);
  }
  std::vector<std::thread> programs;
  for (int i = 0; i < kPrograms; ++i) {
    programs.emplace_back([i] { program(i, nodes, balancer); });
  }
  sleep_until_ms(kKillAt);
  if (trouble) {
    record().line("SIGKILL to " + nodes[0].name);
    ::kill(nodes[0].pid, SIGKILL);
  }
  for (auto& thread : programs) thread.join();
  char text[200];
  std::snprintf(text, sizeof(text),
                "result: %d programs, %d attempts broke off, %d chains right, %d wrong, %d unfinished",
                kPrograms, broken.load(), right.load(), wrong.load(), unfinished.load());
  record().line(text);
  std::printf("%s\n", text);
  std::fflush(stdout);
  if (right + wrong == 0) finish(2);
  finish(wrong > 0 ? 1 : 0);
}
