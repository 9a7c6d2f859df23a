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
#include "cluster/first_runs.hpp"
#include "cluster/loss_rows.hpp"
#include "cluster/peer_clients.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster_types.h"
#include "net/http_client.hpp"
#include "observe/structured_log.hpp"

namespace sailgate::cluster {

/// Losses of requests, by fingerprint. Those of a request are kept by the nodes that observed them,
/// by the first live peers in its rendezvous order and in the store; a request at the limit is
/// announced to all nodes, so that none has to ask before it serves a request. Not thread-safe.
class RequestLosses {
 public:
  /// Handles a loss that another node has reported.
  using Listener = std::function<void(const balancing::EngineLoss&)>;

  /// @param judge what is known of the engine of a loss.
  RequestLosses(net::asio::io_context& context, PeerDirectory& directory, PeerClients& clients,
                BeaconSender& beacons, StoreRelay& store, observe::StructuredLog& log,
                std::uint64_t seed, balancing::LossHistory::Judge judge, Listener on_reported);

  void record(const std::string& fingerprint, balancing::EngineLoss loss);
  /// Tells a peer of the first run of a request, or that it was withdrawn, without waiting: losing
  /// this node must not hide the engine that the request may end.
  void notify_first_run(const std::string& fingerprint, const balancing::EngineLoss& run);
  /// The engine did not run the request that a running loss was recorded for.
  /// @return whether there is such a loss.
  bool withdraw(const std::string& fingerprint, const std::string& engine,
                const std::string& attempt);
  /// A run with these headers that began at this time brought a whole response. Without effect for
  /// requests that are not known here.
  void record_success(const std::string& fingerprint, const std::string& headers,
                      net::TimePoint began);

  bool empty() const { return entries_.empty(); }
  bool knows(const std::string& fingerprint) const { return entries_.count(fingerprint) > 0; }
  /// Whether a loss or a running loss of this engine in this attempt is known.
  bool knows_run(const std::string& fingerprint, const std::string& engine,
                 const std::string& attempt) const;
  /// Engines that the request with these headers may have ended.
  balancing::LossCount count(const std::string& fingerprint, const std::string& headers) const;
  /// Open losses that have settled, so that another look tells whether the engine survived.
  std::vector<balancing::EngineLoss> losses_to_look_at(const std::string& fingerprint) const;
  /// Whether no engine may get the request any more. Asking keeps what is known of it.
  bool is_quarantined(const std::string& fingerprint, const std::string& headers);
  /// Whether synchronize() succeeded a moment ago.
  bool recently_synchronized(const std::string& fingerprint) const;

  /// Exchanges what is known of a request with the peers that keep it.
  /// @return false: none of them answered, so that other nodes may know of further losses.
  net::asio::awaitable<bool> synchronize(std::string fingerprint);
  /// Who has what publish() sent.
  struct Publication {
    bool known_to_peers = false;  ///< as synchronize()
    bool stored = false;
  };
  /// Synchronizes and stores a loss that was recorded here, and announces the request to all nodes
  /// when no further engine may get it, for good or until open losses settle.
  net::asio::awaitable<Publication> publish(std::string fingerprint);
  /// Passes on what has become known of a request that may get further engines.
  net::asio::awaitable<void> update_copies(std::string fingerprint);

  /// Learns after a start which requests are quarantined, from the store or from a peer that knows.
  net::asio::awaitable<void> start();
  /// Whether start() succeeded, or has failed for so long that requests are better served.
  bool caught_up() const { return caught_up_ || net::Clock::now() >= serves_anyway_at_; }
  /// After a standstill: learns from peers which requests are quarantined.
  net::asio::awaitable<void> catch_up();
  /// Forgets requests that were not heard of for the retention period.
  void expire(net::TimePoint now);

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
    std::size_t announced_version = 0;  ///< of the history; 0: not announced
  };
  using Entries = std::list<Entry>;
  /// Calls to several peers at once.
  struct Round;
  /// Processes are ready after this time even if nobody tells which requests are quarantined.
  static constexpr net::Millis kMaxCatchUpWait{2000};

  /// The entry, created if necessary, and kept for another retention period.
  Entry& touch(const std::string& fingerprint);
  void forget_oldest();
  bool must_wait(const Entry& entry) const;
  /// Engines that were lost under the request, whatever became of them.
  int engines_known(const std::string& fingerprint) const;
  void merge(const wire::RequestLosses& message);
  wire::RequestLosses compose(const Entry& entry) const;
  void note_first_run(const std::string& notice);
  /// Adds what is known of first runs to a request that has lost an engine.
  void take_first_runs(Entry& entry);
  /// Reads the rows of the store, again and again until that succeeds.
  net::asio::awaitable<void> read_rows();
  void note_caught_up(const char* source);
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
  BeaconSender& beacons_;
  observe::StructuredLog& log_;
  balancing::LossHistory::Judge judge_;
  Listener on_reported_;
  LossRows rows_;
  FirstRuns first_runs_;
  bool caught_up_ = false;
  net::TimePoint serves_anyway_at_ = net::Clock::now() + kMaxCatchUpWait;
  Entries by_age_;  ///< the one that was not heard of for longest first
  std::unordered_map<std::string, Entries::iterator> entries_;
};

}  // namespace sailgate::cluster
