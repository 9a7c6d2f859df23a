// Case 8: a turn is begun with fewer tokens than it may need, and its stream is cut.
//
// usage: case8 RECORD
#include "../lab-2.hpp"

using namespace lab;

namespace {

constexpr int kChunkTokens = 9;
constexpr int kMostTokens = 288;   ///< of one turn
constexpr int kBudget = 2304;      ///< of a program, as in the example of the pages: eight turns
constexpr int kEvents = 30;        ///< a turn makes 270 tokens, less than its most
constexpr int kTurns = 4;          ///< of eight that the budget holds
constexpr int kPrograms = 8;
/// The longest outage of the store in the site's troubles: platform_down for 4.5 s.
constexpr long kOutageMs = 4500;

void serve_engine(Wire& wire) {
  Message request;
  while (wire.read(request, 60'000, false)) {
    const auto id = request.field("Sailgate-Request-Id");
    if (request.target() == "/healthz") {
      wire.send("HTTP/1.1 200 OK\r\nSailgate-Instance: i-1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    note("engine i-1 runs %s", id.c_str());
    bool sent = wire.send("HTTP/1.1 200 OK\r\nSailgate-Request-Id: " + id + "\r\nSailgate-Seal: 1." + id +
                          "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    int i = 1;
    for (; sent && i <= kEvents; ++i) {
      sleep_ms(5);
      const auto event = "id: " + std::to_string(i) + "\ndata: word\n\n";
      char size[20];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      sent = wire.send(size + event + "\r\n");
    }
    sent = sent && wire.send("0\r\n\r\n");
    note("engine i-1 %s %s", sent ? "has sent the whole answer to" : "finds the connection closed, under",
         id.c_str());
    if (!sent) return;
  }
}

std::atomic<int> cut{0};
std::atomic<int> refused{0};
std::atomic<int> whole{0};

void run_program(const Node& node, int number) {
  std::unique_ptr<Wire> wire;
  const auto program = "3fa8" + std::to_string(number);
  int spent = 0;
  for (int turn = 1; turn <= kTurns; ++turn) {
    if (wire == nullptr) wire = std::make_unique<Wire>(node.connect());
    const auto id = request_id();
    note("client sends turn %d of program %s: %s", turn, program.c_str(), id.c_str());
    wire->send("POST /lohu930/4b HTTP/1.1\r\nHost: ficu95.example\r\nSailgate-Request-Id: " + id +
               "\r\nSailgate-Model: m\r\nSailgate-Program: " + program +
               "\r\nSailgate-Session: 77d20b\r\nSailgate-Finish-Ms: 5200\r\nSailgate-Token-Budget: " +
               std::to_string(kBudget) + "\r\nSailgate-Tokens: 1840," + std::to_string(kMostTokens) +
               "\r\nSailgate-Deadline-Ms: 4000\r\nContent-Length: 16\r\n\r\n" + id);
    Message answer;
    const bool got = wire->read(answer, 4500, true);
    int events = 0;
    for (std::size_t at = 0; (at = answer.body.find("data: ", at)) != std::string::npos; at += 6) {
      ++events;
    }
    spent += events * kChunkTokens;
    note("client gets %d for %s, %s, %d events; the program has %d tokens of its %d",
         got ? answer.status() : 0, id.c_str(), answer.complete ? "whole" : "not whole", events, spent,
         kBudget);
    if (got && answer.complete && answer.status() == 200) ++whole;
    if (got && answer.complete && answer.status() != 200) ++refused;
    if (!got || !answer.complete) {
      ++cut;
      return;
    }
  }
}

}  // namespace

int main(int count, char** arguments) {
  if (count < 2) return 2;
  open_record(arguments[1]);
  const Folder folder;
  Store store(10);
  const Server engine(address(20), serve_engine);
  const auto beat = [&](long seq) {
    store.put("servers", "i-1", entry("llm", engine.endpoint(), "rennes", 12, "ready", seq));
  };
  beat(1);
  store.put("op", "config",
            Json({{"version", 7},
                  {"routes",
                   {{{"name", "chat"},
                     {"host", "ficu95.example"},
                     {"path_prefix", "/lohu930/"},
                     {"kind", "stream"},
                     {"timeout_ms", 4000},
                     {"slo_ms", 200},
                     {"priority", 1},
                     {"service", "llm"},
                     {"max_attempts", 1},
                     {"retained", false},
                     {"sticky", true},
                     {"resumable", false},
                     {"gap_aim_ms", 200}}}},
                  {"services",
                   {{{"name", "llm"},
                     {"health_path", "/healthz"},
                     {"max_conns", 160},
                     {"engine",
                      {{"slots", 12}, {"kv_capacity", 127559}, {"chunk_tokens", kChunkTokens}}}}}},
                  {"limits",
                   {{"max_header_bytes", 16384},
                    {"max_body_bytes", 4194304},
                    {"header_timeout_ms", 3000},
                    {"idle_timeout_ms", 15000}}}})
                .dump());
  Node node(1, "rennes", store.endpoint(), folder.path());
  Node other(2, "rennes", store.endpoint(), folder.path());
  node.wait_until_ready();
  other.wait_until_ready();
  sleep_ms(5000);
  beat(2);
  if (trouble()) {
    note("the store is away for %ld ms", kOutageMs);
    store.set_down(true);
  }
  const auto outage_ends = now_ms() + kOutageMs;
  sleep_ms(1500);
  note("both nodes get SIGHUP");
  node.signal(SIGHUP);
  other.signal(SIGHUP);
  sleep_ms(50);
  std::vector<std::thread> programs;
  for (int i = 0; i < kPrograms; ++i) {
    programs.emplace_back([&, i] { run_program(i % 2 == 0 ? node : other, i); });
  }
  for (auto& program : programs) program.join();
  const bool within = now_ms() < outage_ends;
  sleep_ms(std::max(outage_ends - now_ms(), 1L));
  store.set_down(false);
  note("turns answered whole: %d, refused: %d, cut before their end: %d", whole.load(), refused.load(),
       cut.load());
  if (!within) note("the last turns ended after the outage");
  if (cut > 0) note("BROKEN (LOST): %d requests within 2 s of a SIGHUP", cut.load());
  node.stop(SIGTERM);
  other.stop(SIGTERM);
  return cut > 0 ? 1 : 0;
}
