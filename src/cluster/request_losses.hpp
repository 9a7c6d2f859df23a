/// @file Engines lost under the same request, known wherever its caller may send it again.
///
/// A request that ends the engine that runs it must not be passed from engine to engine until none
/// is left. Its caller retries at any node, under a new id, sooner than beacons tell anything, so a
/// node tells what it saw before its caller gets the failure.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balancing/loss_history.hpp"
#include "cluster/beacon_sender.hpp"
#include "cluster/peer_clients.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster_types.h"
#include "net/http_client.hpp"
#include "observe/structured_log.hpp"

namespace sailgate::cluster {

/// Losses of requests, by fingerprint. Those of a request are kept by the nodes that observed them
/// and by the first live peers in its rendezvous order; a request at the limit is announced to all
/// nodes, so that none has to ask before it serves a request. Not thread-safe.
class RequestLosses {
 public:
  /// @param counts whether the engine of a loss may have ended.
  RequestLosses(net::asio::io_context& context, PeerDirectory& directory, PeerClients& clients,
                const BeaconSender& beacons, observe::StructuredLog& log,
                std::function<bool(const balancing::EngineLoss&)> counts)
      : context_(context),
        directory_(directory),
        clients_(clients),
        beacons_(beacons),
        log_(log),
        counts_(std::move(counts)) {}

  /// Engines that may end under a request; then it is quarantined.
  static constexpr int kMaxLostEngines = 3;

  void record(const std::string& fingerprint, balancing::EngineLoss loss);
  /// A run that began at this time brought a whole response. Without effect for requests that are
  /// not known here.
  void record_success(const std::string& fingerprint, net::TimePoint began);

  bool empty() const { return entries_.empty(); }
  bool knows(const std::string& fingerprint) const { return entries_.count(fingerprint) > 0; }
  /// Engines that the request may have ended, one after another.
  int lost_engines(const std::string& fingerprint) const;
  /// Whether no engine may get the request any more. Asking keeps what is known of it.
  bool is_quarantined(const std::string& fingerprint);
  /// Whether synchronize() succeeded a moment ago.
  bool recently_synchronized(const std::string& fingerprint) const;

  /// Exchanges what is known of a request with the peers that keep it, and announces it to all
  /// nodes when it has reached the limit.
  /// @return false: none of them answered, so that other nodes may know of further losses.
  net::asio::awaitable<bool> synchronize(std::string fingerprint);
  /// After a start: learns from peers which requests are quarantined.
  net::asio::awaitable<void> catch_up();
  /// Forgets requests that were not heard of for the retention period.
  void expire(net::TimePoint now);
  /// Number of requests that are quarantined.
  std::size_t quarantined() const;

  /// Handles calls of other nodes. @throws std::exception if a message cannot be decoded.
  net::TextResponse serve(const net::TextRequest& request);
  /// Whether serve() handles this path.
  static bool serves(std::string_view path);

 private:
  struct Entry {
    std::string fingerprint;
    balancing::LossHistory history;
    net::TimePoint kept_until{};
    net::TimePoint synchronized_at{};
    bool announced = false;
  };
  using Entries = std::list<Entry>;
  /// Calls to several peers at once.
  struct Round;

  /// The entry, created if necessary, and kept for another retention period.
  Entry& touch(const std::string& fingerprint);
  int lost_engines(const Entry& entry) const;
  void merge(const wire::RequestLosses& message);
  wire::RequestLosses compose(const Entry& entry) const;
  struct Target {
    std::string node;
    std::shared_ptr<net::HttpClient> client;
  };

  /// Sends a message to the peers and merges what they answer. @return those that answered.
  net::asio::awaitable<std::vector<std::string>> call_all(std::vector<Target> targets,
                                                          const char* path, std::string body);
  net::asio::awaitable<void> call_one(Target target, net::TextRequest request,
                                      std::shared_ptr<Round> round);
  /// The first live peers in the rendezvous order of `key`.
  std::vector<Target> holders(const std::string& key);
  /// Peers other than those in `told`.
  std::vector<Target> untold(const std::vector<std::string>& told, bool only_live);
  std::string message_about(const std::string& fingerprint);
  /// Tells the live nodes at once, and for a while those that did not answer.
  net::asio::awaitable<void> announce(std::string fingerprint);
  net::asio::awaitable<void> repeat_announcement(std::string fingerprint,
                                                 std::vector<std::string> told);

  net::asio::io_context& context_;
  PeerDirectory& directory_;
  PeerClients& clients_;
  const BeaconSender& beacons_;
  observe::StructuredLog& log_;
  std::function<bool(const balancing::EngineLoss&)> counts_;
  Entries by_age_;  ///< the one that was not heard of for longest first
  std::unordered_map<std::string, Entries::iterator> entries_;
};

}  // namespace sailgate::cluster
