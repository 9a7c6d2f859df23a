/// @file A serving node: accepts callers, follows the store and shuts down gracefully.
#pragma once

#include <memory>
#include <unordered_set>

#include "net/text_server.hpp"
#include "serving/caller_session.hpp"
#include "serving/engine_picture.hpp"
#include "serving/node_state.hpp"
#include "serving/reach_watch.hpp"
#include "serving/silent_runs.hpp"
#include "serving/store_feeds.hpp"

namespace sailgate::serving {

/// Runs entirely on the given event loop. Steps of a graceful shutdown:
///  1. Readiness probes fail and responses carry "Connection: close". Requests that could not end
///     before the process are rejected.
///  2. Once the load balancer has had time to detect this, the listener and idle connections close.
///  3. When no connection is left or the grace period is nearly over, the event loop ends.
class Gateway {
 public:
  /// Starts listening. @throws boost::system::system_error if the address for callers, readiness or
  /// peers is not available.
  Gateway(net::asio::io_context& context, NodeSettings settings, const EdgeProtocol& protocol,
          const PlatformRecords& records, store::TableStore& store, observe::StructuredLog& log,
          std::int64_t incarnation);

  /// Starts accepting callers and following the store.
  void start();
  /// Applies the settings that can change while the node runs.
  void apply(const NodeSettings& settings);
  /// Starts a graceful shutdown, at the end of which the event loop stops.
  void stop();
  /// Whether readiness probes succeed, so that the load balancer sends callers here.
  bool ready() const;

  NodeState& state() { return state_; }

 private:
  void open_metrics(const net::Endpoint& endpoint);
  net::asio::awaitable<void> accept();
  net::asio::awaitable<void> serve(std::shared_ptr<CallerSession> session);
  net::asio::awaitable<void> maintain();
  net::asio::awaitable<void> finish_stop();
  /// Passes the program starts reported by peers to the admission control.
  void apply_peer_starts(net::TimePoint now);
  /// Makes callers with idle connections reconnect.
  void close_idle_sessions();
  /// Releases this node's escrow shards and reserved tokens for the nodes that take over its
  /// programs. Runs concurrently with the rest of the shutdown.
  net::asio::awaitable<void> release_tokens();
  /// Peer information on which the claims of program shards depend.
  ledger::EscrowPeers escrow_peers();
  net::TextResponse answer_readiness(const net::TextRequest& request) const;
  net::TextResponse answer_metrics() const;
  net::asio::awaitable<net::TextResponse> answer_peer(net::TextRequest request);

  net::asio::io_context& context_;
  NodeState state_;
  StoreFeeds feeds_;
  EngineStateUpdater engine_state_updater_;
  ReachabilityMonitor reachability_monitor_;
  SilentRuns silent_runs_;
  net::asio::ip::tcp::acceptor acceptor_;
  net::TextServer readiness_;
  net::TextServer peer_server_;
  std::unique_ptr<net::TextServer> metrics_;
  std::unordered_set<std::shared_ptr<CallerSession>> sessions_;
};

}  // namespace sailgate::serving
