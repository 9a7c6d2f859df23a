/// @file Callers that keep connections, rest and come back, while nodes are stopped as planned.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "soak/soak_checker.hpp"
#include "support/fake_engine.hpp"

namespace sailgate::soak {

/// A node that was told to stop.
struct NodeStop {
  net::TimePoint began;
  net::Millis grace{0};
};

/// Whether a request that was cut did not count as lost by the stop of its node: it was sent early
/// in the stop and cut in the last part of the grace.
bool excuses(const NodeStop& stop, net::TimePoint sent_at, net::TimePoint cut_at);

/// Engines of a service of their own, and enough callers to keep each node busy. Planned stops are
/// the only disruption, so that a request which an engine got is answered whole, but for what a
/// stop excuses. Runs on the soak's event loop.
class RestedCallers {
 public:
  /// @param node gives the address of a node to open a connection to.
  RestedCallers(net::asio::io_context& context, SoakChecker& checker,
                std::function<net::Endpoint()> node, std::uint64_t seed);

  /// Routes and service for the configuration, each with a comma in front.
  static std::string routes();
  static std::string service();
  /// Entries of the engines, by key.
  std::map<std::string, std::string> entries() const;

  void start();
  void stop() { stopping_ = true; }
  bool finished() const { return callers_ == 0; }
  /// A node is told to stop.
  void node_stops(const net::Endpoint& node, net::Millis grace) {
    stops_[node] = {net::Clock::now(), grace};
  }
  /// Line for people.
  std::string summary() const;

 private:
  struct Connection {
    std::unique_ptr<net::beast::tcp_stream> stream;
    net::Endpoint node;
  };

  test::EngineReply answer(const net::TextRequest& request);
  net::asio::awaitable<void> run_caller();
  net::asio::awaitable<void> rest();
  net::asio::awaitable<void> send(Connection& connection);
  /// Judges a request whose connection ended without a whole response.
  void judge_cut(const std::string& id, const net::Endpoint& node, net::TimePoint sent_at);

  net::asio::io_context& context_;
  SoakChecker& checker_;
  std::function<net::Endpoint()> node_;
  base::Random random_;
  std::vector<std::unique_ptr<test::FakeEngine>> engines_;
  std::set<std::string> ran_;
  std::map<net::Endpoint, NodeStop> stops_;  ///< the latest of each node
  int requests_ = 0;
  int answered_ = 0;
  int excused_ = 0;
  int callers_ = 0;
  bool stopping_ = false;
};

}  // namespace sailgate::soak
