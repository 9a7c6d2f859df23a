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

  /// @param reads_digests whether the nodes' rows say so; the first ones of a mixed fleet do not.
  Fleet(int zones, int nodes_per_zone, const std::function<bool(const Node&)>& reads_digests) {
    for (int number = 1; number <= zones * nodes_per_zone; ++number) {
      const auto zone = "zone-" + std::to_string(number % zones);
      nodes.push_back(std::make_unique<Node>(context, number, zone));
    }
    for (const auto& reader : nodes) {
      for (const auto& node : nodes) {
        auto row = row_of(*node);
        if (reads_digests(*node)) row.__set_reads_digests(true);
        reader->directory.put(node->name, row, began);
      }
    }
  }
  Fleet(int zones, int nodes_per_zone)
      : Fleet(zones, nodes_per_zone, [](const Node&) { return true; }) {}
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
  /// Whether all these nodes have heard each other.
  static bool know_each_other(const std::vector<Node*>& some) {
    return std::all_of(some.begin(), some.end(), [&](const Node* node) {
      return std::all_of(some.begin(), some.end(), [&](const Node* other) {
        const auto* peer = node->directory.find(other->incarnation);
        return other == node || (peer->reaches_store && peer->escrow_shards.size() == 1);
      });
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

TEST_CASE("in a large zone nodes learn about each other from the collectors' digests",
          "[cluster]") {
  constexpr int kNodes = 80;
  Fleet fleet(1, kNodes);
  fleet.start();
  test::run_until(fleet.context, [&] { return fleet.all_know_all(); });
  // The totals of a digest include the receiver.
  test::run_until(fleet.context, [&] {
    return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& node) {
      const auto now = net::Clock::now();
      return node->directory.has_digest(now, net::Millis(5000)) &&
             node->directory.loads(now, net::Millis(5000)).at(kEngine) == kNodes;
    });
  });
}

TEST_CASE("large zones learn about each other from summaries", "[cluster]") {
  Fleet fleet(2, 80);
  fleet.start();
  test::run_until(fleet.context, [&] { return fleet.all_know_all(); });
}

TEST_CASE("a large zone whose collectors are all lost goes on exchanging beacons", "[cluster]") {
  Fleet fleet(1, 80);
  const auto silence = net::Millis(2000);
  const auto first = fleet.nodes.front()->directory.collectors("zone-0", 10, fleet.began, silence);
  std::vector<Node*> left;
  for (const auto& node : fleet.nodes) {
    const bool lost = std::any_of(first.begin(), first.end(),
                                  [&](const auto* peer) { return peer->node == node->name; });
    if (!lost) left.push_back(node.get());
  }
  REQUIRE(left.size() < fleet.nodes.size());
  for (auto* node : left) node->sender.start();
  test::run_until(fleet.context, [&] { return Fleet::know_each_other(left); });
}

TEST_CASE("nodes that do not read digests get a beacon of every node of a large zone",
          "[cluster]") {
  const auto reads_digests = [](const Node& node) { return node.incarnation > 10; };
  Fleet fleet(1, 80, reads_digests);
  fleet.start();
  test::run_until(fleet.context, [&] {
    return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& node) {
      if (reads_digests(*node)) return true;
      const auto& peers = node->directory.peers();
      return std::all_of(peers.begin(), peers.end(),
                         [](const auto& entry) { return !entry.second.stats.loads.empty(); });
    });
  });
}

TEST_CASE("a zone whose tenants are limited does without collectors", "[cluster]") {
  Fleet fleet(1, 80);
  for (const auto& node : fleet.nodes) node->sender.set_needs_all_beacons([] { return true; });
  fleet.start();
  test::run_until(fleet.context, [&] {
    return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [](const auto& node) {
      const auto& peers = node->directory.peers();
      return std::all_of(peers.begin(), peers.end(),
                         [](const auto& entry) { return !entry.second.stats.loads.empty(); });
    });
  });
}

TEST_CASE("a lost node is noticed as soon in a zone of 600 nodes as in one of 80", "[cluster]") {
  net::asio::io_context context;
  const auto limit = [&](int nodes) {
    Node node(context, 1, "zone");
    for (int number = 2; number <= nodes; ++number) {
      wire::PeerRow row;
      row.incarnation = number;
      row.zone = "zone";
      row.address = "127.0.0.1";
      row.port = 1;
      node.directory.put("node-" + std::to_string(number), row, net::Clock::now());
    }
    return node.sender.silence_limit();
  };
  REQUIRE(limit(80) == net::Millis(2000));
  REQUIRE(limit(600) == net::Millis(2000));
}
