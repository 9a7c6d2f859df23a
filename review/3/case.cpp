// An engine crashes and starts again under its id while one of its writes to the store, whose answer
// was lost, is done late. Long after, it leaves as planned. Shows which requests the nodes send it
// later than drain_ms after the store has taken its `draining`.
#include "../engine.hpp"

using namespace lab;

namespace {

constexpr int kNodes = 3;
constexpr int kClients = 16;
constexpr int kEngines = 5;
constexpr long kTimeout = 3000;
constexpr long kTrafficFrom = 6000;
constexpr long kHeartbeat = 1200;
constexpr long kCrashAt = 10000;       // right after a beat that the store takes late
constexpr long kGoneAt = kCrashAt - kHeartbeat + 3 * kHeartbeat;  // three heartbeats of silence
constexpr long kBackAt = kCrashAt + 4500;
constexpr long kLateAt = kCrashAt + 5400;  // the late write is done 5.4 s after it was sent
constexpr long kDrainAt = 24000;
constexpr long kDrainMs = 2000;
constexpr long kServesOn = 6000;       // after drain_ms: "at times many seconds"
constexpr long kTrafficTo = kDrainAt + kDrainMs + kServesOn + 2000;

struct Sent {
  std::string id;
  std::string node;
  long at = 0;
  bool whole = false;
  int status = 0;
};

std::mutex mutex;
std::vector<Sent> all;
std::atomic<std::uint64_t> numbers{1};

void client(int number, std::vector<Node>& nodes, Balancer& balancer) {
  std::mt19937 random(static_cast<unsigned>(500 + number));
  Connection connection;
  std::size_t node = 0;
  sleep_until_ms(kTrafficFrom + static_cast<long>(random() % 500));
  while (now_ms() < kTrafficTo) {
    if (connection.stale()) {
      node = balancer.pick(static_cast<std::size_t>(number));
      if (!connection.open(nodes[node])) {
        sleep_ms(100);
        continue;
      }
    }
    Sent sent;
    sent.id = request_id(numbers++);
    sent.node = nodes[node].name;
    const std::string body(600, 'b');
    const auto text =
        "POST /book/1 HTTP/1.1\r\nHost: app.example\r\nSailgate-Request-Id: " + sent.id +
        "\r\nSailgate-Deadline-Ms: " + std::to_string(kTimeout) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    sent.at = now_ms();
    record().line("send   " + sent.id + " to " + sent.node);
    Message answer;
    const auto end = connection.send(text)
                         ? connection.reader().whole(answer, sent.at + kTimeout + 500)
                         : ReadEnd::kClosed;
    sent.whole = end == ReadEnd::kWhole;
    sent.status = answer.status();
    record().line("answer " + sent.id + " " + (sent.whole ? std::to_string(sent.status) : "none"));
    if (!sent.whole || ::strcasecmp(answer.field("Connection").c_str(), "close") == 0) {
      connection.close();
    }
    {
      const std::lock_guard<std::mutex> guard(mutex);
      all.push_back(sent);
    }
    sleep_ms(100 + static_cast<long>(random() % 200));
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
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(std::make_unique<Engine>());
    auto& engine = *engines.back();
    engine.id = "i-app" + std::to_string(i);
    engine.service = "app";
    engine.slots = 6;
    engine.work_ms = [](const Message&) { return 100L; };
    engine.start(store, runs);
  }
  auto& leaving = *engines[0];
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
                                   {"max_attempts", 1}}})},
      {"services", Json::array({Json{{"name", "app"},
                                     {"health_path", "/healthz"},
                                     {"max_conns", 110},
                                     {"protocol", "h1"},
                                     {"tls", false}}})},
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
  for (int i = 0; i < kClients; ++i) {
    std::thread([i] { client(i, nodes, balancer); }).detach();
  }
  if (trouble) {
    const auto late_beat = leaving.entry("ready");
    sleep_until_ms(kCrashAt);
    record().line("a beat of " + leaving.id + " gets no answer from the store; the engine crashes");
    leaving.crash();
    sleep_until_ms(kGoneAt);
    record().line("the entry of " + leaving.id + " goes: three heartbeats of silence");
    store.remove("servers", leaving.id);
    sleep_until_ms(kBackAt);
    record().line(leaving.id + " starts again under its id and writes its entry");
    leaving.start_again(1764800060000);
    sleep_until_ms(kLateAt);
    record().line("the store does the late beat of the run before");
    store.put("servers", leaving.id, late_beat);
    sleep_until_ms(kBackAt + kHeartbeat);
    record().line("the next beat of " + leaving.id + " is done");
    leaving.write_entry("ready");
  }
  sleep_until_ms(kDrainAt);
  leaving.write_entry("draining");
  const long acknowledged = now_ms();
  record().line("the store has taken that " + leaving.id + " is draining");
  sleep_until_ms(acknowledged + kDrainMs + kServesOn);
  record().line(leaving.id + " ends");
  leaving.crash();
  store.remove("servers", leaving.id);
  sleep_until_ms(kTrafficTo + kTimeout + 600);
  int before = 0;
  int within = 0;
  int late = 0;
  int lost = 0;
  for (const auto& [id, ran] : runs.all()) {
    for (const auto& run : ran) {
      if (run.engine != leaving.id || run.began < kBackAt) continue;
      if (run.began < acknowledged) {
        ++before;
      } else if (run.began <= acknowledged + kDrainMs) {
        ++within;
      } else {
        ++late;
        record().line("judged " + id + ": reached " + leaving.id + " " +
                      std::to_string(run.began - acknowledged) +
                      " ms after the acknowledgement (DRAIN)");
        if (run.ended < 0) ++lost;
      }
    }
  }
  int answered = 0;
  {
    const std::lock_guard<std::mutex> guard(mutex);
    for (const auto& sent : all) answered += sent.whole && sent.status == 200 ? 1 : 0;
    char text[240];
    std::snprintf(text, sizeof(text),
                  "result: %zu requests, %d answered 200; at the leaving engine: %d before the "
                  "acknowledgement, %d within drain_ms, %d later, %d of these cut at its end",
                  all.size(), answered, before, within, late, lost);
    record().line(text);
    std::printf("%s\n", text);
    std::fflush(stdout);
  }
  if (answered < 100) finish(2);
  finish(late > 0 ? 1 : 0);
}
