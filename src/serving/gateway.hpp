/// @file A serving node: listens for callers, follows the store, stops when told to.
#pragma once

#include <memory>
#include <unordered_set>

#include "net/text_server.hpp"
#include "serving/caller_session.hpp"
#include "serving/engine_picture.hpp"
#include "serving/node_state.hpp"
#include "serving/reach_watch.hpp"
#include "serving/store_feeds.hpp"

namespace sailgate::serving {

/// Everything runs on the given event loop. Steps of a planned stop:
///  1. readiness says no, answers say "Connection: close";
///  2. after the entry had time to notice, the listener closes;
///  3. idle connections close; when no request is left, or the grace is nearly over, it ends.
class Gateway {
 public:
  Gateway(net::asio::io_context& context, NodeSettings settings, const EdgeProtocol& protocol,
          const PlatformRecords& records, store::TableStore& store, observe::StructuredLog& log,
          std::int64_t incarnation);

  /// Starts listening and following. @throws boost::system::system_error on an address in use.
  void start();
  /// Takes over the settings that can change while the node runs.
  void apply(const NodeSettings& settings) { state_.settings.stop_grace = settings.stop_grace; }
  /// Begins a planned stop; the event loop ends when it is over.
  void stop();
  /// Whether new callers may be sent here.
  bool ready() const;

  NodeState& state() { return state_; }

 private:
  void open_metrics(const net::Endpoint& endpoint);
  net::asio::awaitable<void> accept();
  net::asio::awaitable<void> serve(std::shared_ptr<CallerSession> session);
  net::asio::awaitable<void> maintain();
  net::asio::awaitable<void> finish_stop();
  /// Programs that the other nodes let begin.
  void apply_peer_starts(net::TimePoint now);
  /// Callers whose connection is idle come back by a new one.
  void close_idle_sessions();
  /// Gives the tokens held ahead to the homes that come after this one, beside the stop itself.
  net::asio::awaitable<void> release_tokens();
  /// What the claims on shards of programs depend on.
  ledger::EscrowPeers escrow_peers();
  net::TextResponse answer_readiness(const net::TextRequest& request) const;
  net::TextResponse answer_metrics() const;
  net::asio::awaitable<net::TextResponse> answer_peer(net::TextRequest request);

  net::asio::io_context& context_;
  NodeState state_;
  StoreFeeds feeds_;
  EngineStateUpdater engine_state_updater_;
  ReachabilityMonitor reachability_monitor_;
  net::asio::ip::tcp::acceptor acceptor_;
  net::TextServer readiness_;
  net::TextServer peer_server_;
  std::unique_ptr<net::TextServer> metrics_;
  std::unordered_set<std::shared_ptr<CallerSession>> sessions_;
  net::TimePoint stop_began_{};
};

}  // namespace sailgate::serving
