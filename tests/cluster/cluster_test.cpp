#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

#include "ledger/turn_row.hpp"
#include "support/gateway_fixture.hpp"
#include "wire/codec.hpp"

using namespace sailgate;
using ledger::LookupOutcome;
using ledger::ReserveOutcome;
using test::MemoryTable;
using test::run;
using test::run_until;

namespace {

/// Node with its own connection to the store, which can fail independently of the other nodes'.
struct Node {
  Node(net::asio::io_context& context, test::GatewayFixture& shared, const std::string& name,
       std::int64_t incarnation, MemoryTable& own_table, bool escrow = false)
      : settings(shared.make_settings()) {
    settings.node = name;
    settings.mechanisms.escrow = escrow;
    gateway = std::make_unique<serving::Gateway>(context, settings, shared.protocol, shared.records,
                                                 own_table, shared.log, incarnation);
    gateway->start();
  }
  serving::NodeState& state() { return gateway->state(); }

  serving::NodeSettings settings;
  std::unique_ptr<serving::Gateway> gateway;
};

struct Fixture : test::GatewayFixture {
  Node first{context, *this, "first", 101, table};
  Node second{context, *this, "second", 102, table};

  Fixture() {
    run_until(context, [this] { return known(first, 102) && known(second, 101); });
  }
  static bool known(Node& node, std::int64_t incarnation) {
    return node.state().peers.find(incarnation) != nullptr;
  }
  net::TimePoint soon() { return net::Clock::now() + net::Millis(400); }

  /// Name of a program whose home is the second node.
  std::string program_at_second() {
    for (int i = 0;; ++i) {
      const auto program = "program-" + std::to_string(i);
      const auto home = first.state().peers.home(program, net::Clock::now(), net::Millis(60'000));
      if (home) return program;
    }
  }
  cluster::TurnStart begin(Node& node, const std::string& program, std::int64_t tokens,
                           const std::string& previous = "", std::int64_t budget = 1000) {
    cluster::TurnRequest request;
    request.program = tenancy::StateKey("", program);
    request.previous = tenancy::StateKey("", previous);
    request.tokens = tokens;
    request.budget = budget;
    return run(context, node.state().turns.begin(std::move(request), soon()));
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a program's home holds its token grant", "[cluster]") {
  const auto program = program_at_second();
  const auto start = begin(first, program, 100);
  REQUIRE(start.reservation == ReserveOutcome::kReserved);
  REQUIRE(start.reservation_node == "second");
  const int writes = table.writes();
  REQUIRE(begin(second, program, 100).reservation == ReserveOutcome::kReserved);
  REQUIRE(table.writes() == writes);
}

TEST_CASE_METHOD(Fixture, "the home returns the chain of a turn without reading the store",
                 "[cluster]") {
  const auto program = program_at_second();
  const auto turn =
      std::make_shared<const ledger::Turn>(ledger::Turn{"t1", "in", "out\n", nullptr});
  second.state().ledger.turns.cache_chain(ledger::encode_chain(*turn), nullptr);
  const int reads = table.reads();
  const auto start = begin(first, program, 0, "t1");
  REQUIRE(start.lookup == LookupOutcome::kFound);
  REQUIRE(ledger::assemble_prompt(start.previous, "x") == "inout\nx");
  REQUIRE(table.reads() == reads);
}

TEST_CASE_METHOD(Fixture, "without its home, a program's budget is decided by its row",
                 "[cluster]") {
  const auto program = program_at_second();
  REQUIRE(begin(first, program, 400).reservation_node == "second");
  first.state().peers.suspect("second", net::Clock::now() + net::Millis(60'000));
  const auto start = begin(first, program, 500);
  REQUIRE(start.reservation_node.empty());
  REQUIRE(start.reservation == ReserveOutcome::kReserved);
  REQUIRE(begin(first, program, 101).reservation == ReserveOutcome::kExhausted);
}

TEST_CASE_METHOD(Fixture, "tokens granted to another node but unused are reclaimed", "[cluster]") {
  const auto program = program_at_second();
  const auto start = begin(first, program, 600);
  REQUIRE(start.reservation_node == "second");
  first.state().turns.end({tenancy::StateKey("", program), "", 600, 100, nullptr, ""}, start);
  run_until(context, [&] {
    // The home has settled the turn once it can reserve the unused tokens again.
    return run(context, second.state().ledger.budgets.reserve(program, 450, 1000, soon())) ==
           ReserveOutcome::kReserved;
  });
  second.state().ledger.budgets.settle(program, 450, 0);
  first.state().peers.suspect("second", net::Clock::now() + net::Millis(60'000));
  REQUIRE(begin(first, program, 900).reservation == ReserveOutcome::kReserved);
}

TEST_CASE_METHOD(Fixture, "an exhausted budget is not immediately read again", "[cluster]") {
  const auto program = program_at_second();
  REQUIRE(begin(first, program, 1000).reservation == ReserveOutcome::kReserved);
  REQUIRE(begin(first, program, 1).reservation == ReserveOutcome::kExhausted);
  const int reads = table.reads();
  REQUIRE(begin(first, program, 1).reservation == ReserveOutcome::kExhausted);
  REQUIRE(table.reads() == reads);
}

TEST_CASE_METHOD(Fixture, "a restart of a peer does not disturb calls to its old incarnation",
                 "[cluster]") {
  // The old incarnation is a listener that accepts connections and never answers.
  net::asio::ip::tcp::acceptor silent(context,
                                      net::Endpoint(net::asio::ip::address_v4::loopback(), 0));
  cluster::Peer peer;
  peer.node = "third";
  peer.incarnation = 1;
  peer.endpoint = silent.local_endpoint();
  auto& clients = first.state().peer_clients;
  bool ended = false;
  const auto call = [&]() -> net::asio::awaitable<void> {
    const auto http = clients.get(peer);
    auto request = cluster::peer_request("/peer/any", "");
    co_await http->exchange(std::move(request), net::Millis(50));
    ended = true;
  };
  net::asio::co_spawn(context, call(), net::asio::detached);
  context.poll();
  peer.incarnation = 2;
  const auto replaced = clients.get(peer);
  run_until(context, [&] { return ended; });
  REQUIRE(clients.get(peer) == replaced);
}

TEST_CASE_METHOD(Fixture, "a call to a peer's old incarnation is answered after its restart",
                 "[cluster]") {
  // Longer than the test can wait, so that only the answer ends the call.
  constexpr net::Millis kNoTimeout = std::chrono::hours(1);
  engine.set_script([](const auto&) {
    test::EngineReply reply{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    reply.delay = net::Millis(20);
    return reply;
  });
  cluster::Peer peer;
  peer.node = "third";
  peer.incarnation = 1;
  peer.endpoint = engine.endpoint();
  auto& clients = first.state().peer_clients;
  std::optional<net::ExchangeResult> result;
  const auto call = [&]() -> net::asio::awaitable<void> {
    const auto http = clients.get(peer);
    auto request = cluster::peer_request("/peer/any", "");
    result = co_await http->exchange(std::move(request), kNoTimeout);
  };
  net::asio::co_spawn(context, call(), net::asio::detached);
  run_until(context, [this] { return engine.requests().size() == 1; });
  peer.incarnation = 2;
  const auto replaced = clients.get(peer);
  run_until(context, [&] { return result.has_value(); });
  REQUIRE(cluster::succeeded(*result));
  REQUIRE(clients.get(peer) == replaced);
}

TEST_CASE_METHOD(Fixture, "malformed peer messages are refused and do not end the process",
                 "[cluster]") {
  net::HttpClient client(context, first.settings.peers);
  for (const auto* path :
       {"/peer/turns/begin", "/peer/turns/end", "/peer/turns/close", "/peer/budgets/release",
        "/peer/store/transact", "/peer/store/read", "/peer/store/follow"}) {
    auto request = cluster::peer_request(path, std::string("\xff\xff\xff\xff nonsense", 13));
    const auto exchange = run(context, client.exchange(std::move(request), net::Millis(500)));
    CAPTURE(path);
    REQUIRE(exchange.failure == net::ExchangeFailure::kNone);
    REQUIRE(exchange.response.result() == net::http::status::bad_request);
  }
  auto unknown = cluster::peer_request("/peer/unknown", "");
  const auto exchange = run(context, client.exchange(std::move(unknown), net::Millis(500)));
  REQUIRE(exchange.response.result() == net::http::status::not_found);
}

TEST_CASE_METHOD(test::GatewayFixture,
                 "a node that the store refuses relays its calls through a peer", "[cluster]") {
  MemoryTable refusing(context);
  refusing.set_mode(MemoryTable::Mode::kRefuses);
  Node healthy(context, *this, "healthy", 201, table);
  Node cut_off(context, *this, "cut-off", 202, refusing);
  run_until(context, [&] { return table.has("nodes", "healthy"); });
  wire::PeerRow row;
  row.incarnation = 201;
  row.zone = "zone";
  row.address = healthy.settings.peers.address().to_string();
  row.port = healthy.settings.peers.port();
  cut_off.state().peers.put("healthy", row, net::Clock::now());
  wire::Beacon beacon;
  beacon.incarnation = 201;
  beacon.reaches_store = true;
  cut_off.state().peers.on_beacon(beacon, net::Clock::now());
  put_configuration(3);
  run_until(context, [&] { return cut_off.state().routes != nullptr; });
  REQUIRE(cut_off.state().routes->version() == 3);
  const auto turn = std::make_shared<const ledger::Turn>(ledger::Turn{"t1", "in", "out", nullptr});
  cut_off.state().peers.on_beacon(beacon, net::Clock::now());
  REQUIRE(run(context, cut_off.state().ledger.turns.record(turn, net::Millis(60'000),
                                                           net::Clock::now() + net::Millis(2000))));
  REQUIRE(table.has("turns", "t1"));
}

namespace {

/// Two nodes that have claimed all program shards between them.
struct EscrowFixture : test::GatewayFixture {
  std::unique_ptr<Node> first;
  std::unique_ptr<Node> second;

  EscrowFixture() {
    first = std::make_unique<Node>(context, *this, "first", 101, table, true);
    second = std::make_unique<Node>(context, *this, "second", 102, table, true);
    run_until(context, [this] { return owned_by(*first) + owned_by(*second) == kShards; });
    // Each node must know which shards the other one owns.
    run_until(context, [this] { return heard(*first, *second) && heard(*second, *first); });
  }
  static constexpr std::size_t kShards = ledger::kEscrowShards;

  static std::size_t owned_by(Node& node) {
    return node.state().ledger.escrow.spendable_shards().size();
  }
  static bool heard(Node& listener, Node& owner) {
    const auto& peers = listener.state().peers.peers();
    const auto peer = peers.find(owner.settings.node);
    return peer != peers.end() && peer->second.escrow_shards.size() == owned_by(owner);
  }
  std::string program_of(Node& owner) {
    for (int i = 0;; ++i) {
      const auto program = "program-" + std::to_string(i);
      if (owner.state().ledger.escrow.owns(program)) return program;
    }
  }
  cluster::TurnStart begin(Node& node, const std::string& program, std::int64_t tokens) {
    cluster::TurnRequest request;
    request.program = tenancy::StateKey("", program);
    request.tokens = tokens;
    request.budget = 900;
    const auto deadline = net::Clock::now() + net::Millis(400);
    return run(context, node.state().turns.begin(std::move(request), deadline));
  }
};

}  // namespace

TEST_CASE_METHOD(EscrowFixture, "nodes divide the shards among them, and each program has one home",
                 "[cluster][escrow]") {
  REQUIRE(owned_by(*first) > kShards / 4);
  REQUIRE(owned_by(*second) > kShards / 4);
  const auto program = program_of(*second);
  REQUIRE(begin(*first, program, 100).reservation_node == "second");
  REQUIRE(begin(*second, program, 100).reservation_node.empty());
}

TEST_CASE_METHOD(EscrowFixture, "any node starts programs while the store is unavailable",
                 "[cluster][escrow]") {
  table.set_mode(MemoryTable::Mode::kRefuses);
  for (auto* owner : {first.get(), second.get()}) {
    const auto program = program_of(*owner);
    std::int64_t reserved = 0;
    int turns = 0;
    for (bool reached = true; reached; ++turns) {
      const auto start = begin(turns % 2 == 0 ? *first : *second, program, 100);
      reached = start.reservation == ReserveOutcome::kReserved;
      reserved += start.reserved;
    }
    // Of 900 tokens, 100 + 800 / 3 can be spent without a row: three turns and most of a fourth.
    REQUIRE(turns >= 4);
    REQUIRE(reserved >= 300);
    REQUIRE(reserved <= 366);
  }
}

TEST_CASE_METHOD(EscrowFixture, "only the shard's owner reports a budget as exhausted",
                 "[cluster][escrow]") {
  const auto program = program_of(*second);
  for (int turn = 0; turn < 3; ++turn) {
    REQUIRE(begin(*first, program, 300).reservation == ReserveOutcome::kReserved);
  }
  REQUIRE(begin(*first, program, 300).reservation == ReserveOutcome::kExhausted);
  first->state().peers.suspect("second", net::Clock::now() + net::Millis(60'000));
  // While the owner cannot be reached, one turn beyond the budget is allowed, but not a second one.
  REQUIRE(begin(*first, program, 300).reservation == ReserveOutcome::kReserved);
  REQUIRE(begin(*first, program, 300).reservation == ReserveOutcome::kUnavailable);
}

TEST_CASE_METHOD(EscrowFixture, "a stopping node hands over its shards", "[cluster][escrow]") {
  const auto program = program_of(*second);
  REQUIRE(begin(*second, program, 100).reservation == ReserveOutcome::kReserved);
  second->gateway->stop();
  run_until(context, [this] { return owned_by(*first) == kShards; });
  table.set_mode(MemoryTable::Mode::kRefuses);
  // With turns of 250 tokens the escrow is 250 + 650 / 3 tokens, of which 100 are spent.
  REQUIRE(begin(*first, program, 250).reservation == ReserveOutcome::kReserved);
  REQUIRE(begin(*first, program, 250).reservation == ReserveOutcome::kUnavailable);
}

TEST_CASE_METHOD(EscrowFixture,
                 "an undecidable reservation is not remembered as an exhausted budget",
                 "[cluster][escrow]") {
  const auto program = program_of(*second);
  first->state().peers.suspect("second", net::Clock::now() + net::Millis(60'000));
  // The rows grant 900 + 300 - 450 tokens in total.
  REQUIRE(begin(*first, program, 300).reservation == ReserveOutcome::kReserved);
  REQUIRE(begin(*first, program, 300).reservation == ReserveOutcome::kReserved);
  REQUIRE(begin(*first, program, 300).reservation == ReserveOutcome::kUnavailable);
  REQUIRE_FALSE(first->state().ledger.budgets.recently_exhausted(program, 300));
}

namespace {

/// Node that starts after all owners of shards were lost.
struct LostOwnersFixture : test::GatewayFixture {
  static constexpr std::int64_t kLostOwner = 99;
  std::unique_ptr<Node> node;

  LostOwnersFixture() {
    for (int shard = 0; shard < ledger::kEscrowShards; ++shard) {
      const auto row = ledger::plan_claim(nullptr, kLostOwner, 1);
      table.put("escrow", "escrow", std::to_string(shard), wire::encode(row));
    }
    node = std::make_unique<Node>(context, *this, "node", 101, table, true);
    run_until(context, [this] {
      return node->state().ledger.escrow.bare_shards().size() == ledger::kEscrowShards;
    });
  }
  ReserveOutcome begin(const std::string& program, std::int64_t tokens, std::int64_t budget) {
    cluster::TurnRequest request;
    request.program = tenancy::StateKey("", program);
    request.tokens = tokens;
    request.budget = budget;
    const auto deadline = net::Clock::now() + net::Millis(400);
    return run(context, node->state().turns.begin(std::move(request), deadline)).reservation;
  }
};

}  // namespace

TEST_CASE_METHOD(LostOwnersFixture,
                 "a program that starts after the loss of its shard's owner has its full budget",
                 "[cluster][escrow]") {
  constexpr std::int64_t kTurn = 588;
  constexpr std::int64_t kTwoTurns = 2 * kTurn;
  REQUIRE(begin("program", kTurn, kTwoTurns) == ReserveOutcome::kReserved);
  REQUIRE(begin("program", kTurn, kTwoTurns) == ReserveOutcome::kReserved);
  REQUIRE(begin("program", kTurn, kTwoTurns) == ReserveOutcome::kExhausted);
}
