#include "cluster/beacon_sender.hpp"

#include <catch2/catch.hpp>

#include "support/loopback_endpoints.hpp"
#include "support/run.hpp"

using namespace sailgate;
using cluster::BeaconSender;
using cluster::PeerDirectory;

namespace {

const std::string kEngine = "engine";

struct Node {
  Node(net::asio::io_context& context, int number, const std::string& zone)
      : incarnation(number),
        name("node-" + std::to_string(number)),
        endpoint(test::own_endpoint()),
        directory(name, zone),
        sender(
            context, endpoint, directory, [this] { return beacon(); },
            static_cast<std::uint64_t>(number)) {}

  wire::Beacon beacon() const {
    wire::Beacon message;
    message.incarnation = incarnation;
    message.reaches_store = true;
    message.escrow_shards = {static_cast<std::int16_t>(incarnation)};
    message.loads[cluster::engine_key(kEngine)] = 1;
    return message;
  }

  std::int64_t incarnation;
  std::string name;
  net::Endpoint endpoint;
  PeerDirectory directory;
  BeaconSender sender;
};

/// Fleet on loopback in which every node has read the rows of all others.
struct Fleet {
  net::asio::io_context context;
  std::vector<std::unique_ptr<Node>> nodes;
  net::TimePoint began = net::Clock::now();

  Fleet(int zones, int nodes_per_zone) {
    for (int number = 1; number <= zones * nodes_per_zone; ++number) {
      const auto zone = "zone-" + std::to_string(number % zones);
      nodes.push_back(std::make_unique<Node>(context, number, zone));
    }
    for (const auto& reader : nodes) {
      for (const auto& node : nodes) reader->directory.put(node->name, row_of(*node), began);
    }
  }
  static wire::PeerRow row_of(const Node& node) {
    wire::PeerRow row;
    row.incarnation = node.incarnation;
    row.zone = node.directory.zone();
    row.address = node.endpoint.address().to_string();
    row.port = node.endpoint.port();
    return row;
  }
  void start() {
    for (const auto& node : nodes) node->sender.start();
  }
  /// Whether a node has heard all others since the start, by beacons or summaries.
  bool knows_all(const Node& node) const {
    const auto& peers = node.directory.peers();
    return std::all_of(peers.begin(), peers.end(), [](const auto& entry) {
      return entry.second.reaches_store && entry.second.escrow_shards.size() == 1;
    });
  }
  bool all_know_all() const {
    return std::all_of(nodes.begin(), nodes.end(),
                       [this](const auto& node) { return knows_all(*node); });
  }
};

}  // namespace

TEST_CASE("in a small fleet all nodes receive each other's beacons", "[cluster]") {
  Fleet fleet(2, 3);
  fleet.start();
  test::run_until(fleet.context, [&] { return fleet.all_know_all(); });
  for (const auto& node : fleet.nodes) {
    REQUIRE(node->directory.loads(net::Clock::now(), net::Millis(5000)).at(kEngine) == 5);
  }
}

TEST_CASE("in a large fleet nodes learn about other zones from summaries", "[cluster]") {
  constexpr int kZones = 3;
  constexpr int kNodes = 24;
  Fleet fleet(kZones, kNodes);
  fleet.start();
  test::run_until(fleet.context, [&] { return fleet.all_know_all(); });
  for (const auto& node : fleet.nodes) {
    REQUIRE(node->directory.loads(net::Clock::now(), net::Millis(5000)).at(kEngine) ==
            kZones * kNodes - 1);
  }
}

TEST_CASE("zones that count each other as lost find each other again", "[cluster]") {
  Fleet fleet(3, 24);
  const auto long_ago = net::Clock::now() - net::Millis(60'000);
  for (const auto& reader : fleet.nodes) {
    for (const auto& node : fleet.nodes) {
      reader->directory.remove(node->name);
      reader->directory.put(node->name, Fleet::row_of(*node), long_ago);
    }
  }
  fleet.start();
  test::run_until(fleet.context, [&] { return fleet.all_know_all(); });
}

TEST_CASE("a large fleet detects a lost node later than a small one, within two seconds",
          "[cluster]") {
  Fleet small(2, 3);
  Fleet large(3, 24);
  REQUIRE(small.nodes[0]->sender.silence_limit() == net::Millis(800));
  REQUIRE(large.nodes[0]->sender.silence_limit() == net::Millis(2000));
}
