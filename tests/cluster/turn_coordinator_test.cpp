#include "cluster/turn_coordinator.hpp"

#include <catch2/catch.hpp>

#include "fault_proxy.hpp"
#include "net/endpoint.hpp"
#include "net/text_server.hpp"
#include "support/gateway_fixture.hpp"
#include "wire/codec.hpp"

using namespace sailgate;
using bench::LinkMode;
using ledger::ReserveOutcome;
using test::run;
using test::run_until;

namespace {

constexpr std::int64_t kHomeIncarnation = 102;
constexpr std::int64_t kBudget = 900;
/// Two such turns exceed the budget.
constexpr std::int64_t kTurnTokens = 588;
/// Longer than any timeout of a call to a peer.
constexpr net::Millis kPeerTimeout{1000};
constexpr int kTries = 20;
constexpr net::Millis kTryPause{100};

/// A node and the home of all programs used here, connected by a link that can fail.
struct LossyLinkFixture : test::GatewayFixture {
  bench::FaultProxies links;
  serving::NodeSettings node_settings = named("node");
  serving::NodeSettings home_settings = named("home");
  std::unique_ptr<serving::Gateway> node = make(node_settings, 101);
  std::unique_ptr<serving::Gateway> home;

  LossyLinkFixture() {
    know_home_through(links.add(net::format_endpoint(home_settings.peers)));
    node->start();
    home = make(home_settings, kHomeIncarnation);
    home->start();
    run_until(context, [this] { return node->state().peers.find(kHomeIncarnation) != nullptr; });
  }

  serving::NodeSettings named(const std::string& name) {
    auto made = make_settings();
    made.node = name;
    return made;
  }
  std::unique_ptr<serving::Gateway> make(const serving::NodeSettings& of,
                                         std::int64_t incarnation) {
    return std::make_unique<serving::Gateway>(context, of, protocol, records, table, log,
                                              incarnation);
  }
  void know_home_through(const std::string& address) {
    const auto port = address.substr(address.rfind(':') + 1);
    wire::PeerRow row;
    row.incarnation = kHomeIncarnation;
    row.zone = "zone";
    row.address = "127.0.0.1";
    row.port = std::stoi(port);
    node->state().peers.put("home", row, net::Clock::now());
  }

  /// A program whose home is the other node.
  std::string program_at_home() {
    for (int i = 0;; ++i) {
      const auto program = "program-" + std::to_string(i);
      const auto at = node->state().peers.home(program, net::Clock::now(), net::Millis(60'000));
      if (at) return program;
    }
  }
  cluster::TurnStart begin(const std::string& program, std::int64_t tokens) {
    cluster::TurnRequest request;
    request.program = tenancy::StateKey("", program);
    request.tokens = tokens;
    request.budget = kBudget;
    const auto deadline = net::Clock::now() + kPeerTimeout;
    return run(context, node->state().turns.begin(std::move(request), deadline));
  }
  void end(const std::string& program, const cluster::TurnStart& start, std::int64_t used) {
    node->state().turns.end({tenancy::StateKey("", program), "", start.reserved, used, nullptr, ""},
                            start);
  }
  void pass(net::Millis time) {
    const auto until = net::Clock::now() + time;
    run_until(context, [&] { return net::Clock::now() >= until; });
  }
  /// Whether a caller that retries gets the turn.
  bool begins_at_last(const std::string& program, std::int64_t tokens) {
    for (int tries = 0; tries < kTries; ++tries) {
      if (begin(program, tokens).reservation == ReserveOutcome::kReserved) return true;
      pass(kTryPause);
    }
    return false;
  }
};

}  // namespace

TEST_CASE_METHOD(LossyLinkFixture, "a turn that never began leaves its program the whole budget",
                 "[cluster][reservations]") {
  const auto program = program_at_home();
  links.set_mode(0, LinkMode::kOneWay);
  REQUIRE(begin(program, kTurnTokens).reservation_node.empty());
  links.heal();
  REQUIRE(begins_at_last(program, kTurnTokens));
}

TEST_CASE_METHOD(LossyLinkFixture, "tokens that a turn did not use are given back over a lost link",
                 "[cluster][reservations]") {
  const auto program = program_at_home();
  const auto start = begin(program, kTurnTokens);
  REQUIRE(start.reservation_node == "home");
  links.set_mode(0, LinkMode::kReset);
  end(program, start, 0);
  pass(kPeerTimeout);
  links.heal();
  REQUIRE(begins_at_last(program, kTurnTokens));
}

TEST_CASE_METHOD(LossyLinkFixture,
                 "a budget is not reported as exhausted while a live holder is unreachable",
                 "[cluster][reservations]") {
  const auto program = program_at_home();
  REQUIRE(begin(program, kTurnTokens).reservation_node == "home");
  links.set_mode(0, LinkMode::kReset);
  REQUIRE(begin(program, kTurnTokens).reservation == ReserveOutcome::kUnavailable);
}

namespace {

/// A node beside a home that answers every call with the same bytes.
struct ScriptedHomeFixture : test::GatewayFixture {
  std::vector<std::string> asked;  ///< paths of the calls of the home
  std::string answer;
  net::Endpoint endpoint = test::own_endpoint();
  net::TextServer home{context, endpoint,
                       [this](net::TextRequest request) -> net::asio::awaitable<net::TextResponse> {
                         asked.emplace_back(request.target());
                         net::TextResponse response;
                         response.body() = answer;
                         co_return response;
                       }};

  ScriptedHomeFixture() {
    start_unconfigured();
    home.start();
    wire::PeerRow row;
    row.incarnation = kHomeIncarnation;
    row.zone = "zone";
    row.address = endpoint.address().to_string();
    row.port = endpoint.port();
    gateway->state().peers.put("home", row, net::Clock::now());
  }
  /// Begins a turn of a program whose home is the scripted one.
  cluster::TurnStart begin() {
    auto& state = gateway->state();
    cluster::TurnRequest request;
    request.tokens = kTurnTokens;
    request.budget = kBudget;
    const auto now = net::Clock::now();
    for (int i = 0; !state.peers.home(request.program.text(), now, kPeerTimeout); ++i) {
      request.program = tenancy::StateKey("", "program-" + std::to_string(i));
    }
    return run(context, state.turns.begin(request, now + kPeerTimeout));
  }
};

}  // namespace

TEST_CASE_METHOD(ScriptedHomeFixture,
                 "a reservation is closed at a home whose answer cannot be decoded",
                 "[cluster][reservations]") {
  answer = "nonsense";
  begin();
  run_until(context, [&] { return asked.size() >= 2; });
  REQUIRE(asked[0] == "/peer/turns/begin");
  REQUIRE(asked[1] == "/peer/turns/close");
}

TEST_CASE_METHOD(ScriptedHomeFixture,
                 "a home that reserves less than a turn may generate is not relied upon",
                 "[cluster][reservations]") {
  wire::BeginTurnReply reply;
  reply.reservation = wire::TurnReservation::kReserved;
  reply.reserved = kTurnTokens / 2;
  answer = wire::encode(reply);
  const auto start = begin();
  REQUIRE(start.reservation == ReserveOutcome::kReserved);
  REQUIRE(start.reserved == kTurnTokens);
  REQUIRE(start.reservation_node.empty());
  run_until(context, [&] { return asked.size() >= 2; });
  REQUIRE(asked[1] == "/peer/turns/close");
}
