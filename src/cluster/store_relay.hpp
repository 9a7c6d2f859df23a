/// @file Access to the table store through a peer.
///
/// The store may refuse, throttle or drop calls of single machines, or a network partition may
/// separate a machine from it. While a node's own calls fail and those of some peer succeed, the
/// node sends its calls through that peer.
#pragma once

#include <optional>
#include <string_view>

#include "base/random.hpp"
#include "cluster/peer_clients.hpp"
#include "cluster_types.h"
#include "observe/structured_log.hpp"
#include "store/reachability.hpp"
#include "store/space_watch.hpp"
#include "store/store_clock.hpp"
#include "store/table_store.hpp"

namespace sailgate::cluster {

/// Not thread-safe. A relayed call is never relayed again.
class StoreRelay : public store::TableStore {
 public:
  StoreRelay(net::asio::io_context& context, store::TableStore& direct, PeerDirectory& directory,
             PeerClients& clients, observe::StructuredLog& log, std::uint64_t seed)
      : context_(context),
        direct_(direct),
        directory_(directory),
        clients_(clients),
        log_(log),
        random_(seed) {}

  net::asio::awaitable<store::StoreResult> transact(store::Transaction transaction,
                                                    net::Millis timeout) override;
  net::asio::awaitable<store::StoreResult> read(store::RangeRead range,
                                                net::Millis timeout) override;
  net::asio::awaitable<store::StoreResult> follow(std::string table, std::int64_t after,
                                                  net::Millis wait, net::Millis timeout) override;

  /// While this node's own calls fail, probes the store periodically to detect its recovery.
  net::asio::awaitable<void> probe_loop();
  /// Whether any recent call to the store, direct or relayed, was answered.
  bool answers() const { return reachability_.answers(net::Clock::now()); }
  const store::Reachability& reachability() const { return reachability_; }
  /// Starts up to two extra probes, unless they are in progress or a call was just answered. With
  /// few requests it would otherwise take seconds to detect an outage of the store.
  void verify();
  /// Expected remaining duration of the outage; 0 while calls are answered.
  net::Millis expected_outage() const { return reachability_.expected_outage(net::Clock::now()); }

  /// Whether the store refuses rows because it is out of space. While it does, a small row is
  /// written periodically, so that recovery does not have to be detected by a caller's turn.
  bool full() const { return space_.full(); }

  /// Handles calls of other nodes. They are always made directly, whatever this node's own state.
  net::asio::awaitable<net::TextResponse> serve(net::TextRequest request);
  /// Whether serve() handles this path.
  static bool serves(std::string_view path);

  /// Whether this node's direct calls are answered; sent in its beacon.
  bool direct_works() const { return direct_works_; }
  const store::StoreClock& clock() const { return clock_; }
  /// Whether calls may be relayed through a peer.
  void set_relaying(bool relaying) { relaying_ = relaying; }
  /// Whether a probe may start while the previous one is still pending.
  void set_overlapping(bool overlapping) { overlapping_ = overlapping; }
  void set_silence_limit(net::Millis limit) { silence_limit_ = limit; }

 private:
  /// Peer to relay the next call through; nullopt if the call is made directly.
  std::optional<Peer> pick_relay_peer();
  /// Records the result of a direct call.
  void record_direct_result(const store::StoreResult& result);
  void record_result(const store::StoreResult& result);
  net::asio::awaitable<void> probe_twice();
  net::asio::awaitable<void> probe(net::Millis timeout);
  net::asio::awaitable<void> probe_space();
  void record_space(store::StoreStatus status, bool puts_rows);
  net::Millis probe_interval() const;
  net::asio::awaitable<store::StoreResult> relayed(Peer peer, const char* path, std::string body,
                                                   net::Millis timeout);

  net::asio::io_context& context_;
  store::TableStore& direct_;
  PeerDirectory& directory_;
  PeerClients& clients_;
  observe::StructuredLog& log_;
  base::Random random_;
  net::Millis silence_limit_{1000};
  int failures_in_a_row_ = 0;
  bool direct_works_ = true;
  store::Reachability reachability_;
  store::StoreClock clock_;
  store::SpaceMonitor space_;
  net::TimePoint space_probed_at_{};
  std::uint64_t probes_ = 0;
  bool verifying_ = false;
  bool relaying_ = true;
  bool overlapping_ = true;
};

}  // namespace sailgate::cluster
