/// @file Reaching the table store through another node.
///
/// The store may refuse, throttle or drop single machines, and a cut may part one from it. While a
/// node's own calls fail and some peer's do not, the node has that peer make them.
#pragma once

#include <optional>
#include <string_view>

#include "base/random.hpp"
#include "cluster/peer_clients.hpp"
#include "cluster_types.h"
#include "observe/structured_log.hpp"
#include "store/table_store.hpp"

namespace sailgate::cluster {

/// Not thread-safe. A relayed call is never relayed again.
class StoreRelay : public store::TableStore {
 public:
  StoreRelay(store::TableStore& direct, PeerDirectory& directory, PeerClients& clients,
             observe::StructuredLog& log, std::uint64_t seed)
      : direct_(direct), directory_(directory), clients_(clients), log_(log), random_(seed) {}

  net::asio::awaitable<store::StoreResult> transact(store::Transaction transaction,
                                                    net::Millis timeout) override;
  net::asio::awaitable<store::StoreResult> read(store::RangeRead range,
                                                net::Millis timeout) override;
  net::asio::awaitable<store::StoreResult> follow(std::string table, std::int64_t after,
                                                  net::Millis wait, net::Millis timeout) override;

  /// Calls of other nodes: made directly, whatever this node's own state.
  net::asio::awaitable<net::TextResponse> serve(net::TextRequest request);
  /// Whether a path is one of serve()'s.
  static bool serves(std::string_view path);

  /// Whether this node's own calls are answered, for its beacon.
  bool direct_works() const { return direct_works_; }
  void set_silence_limit(net::Millis limit) { silence_limit_ = limit; }

 private:
  /// A peer to go through now; nullopt: the call is made directly.
  std::optional<Peer> relay_for_now();
  /// Notes how a direct call ended.
  void note_direct(store::StoreStatus status);
  net::asio::awaitable<store::StoreResult> relayed(Peer peer, const char* path, std::string body,
                                                   net::Millis timeout);

  store::TableStore& direct_;
  PeerDirectory& directory_;
  PeerClients& clients_;
  observe::StructuredLog& log_;
  base::Random random_;
  net::Millis silence_limit_{1000};
  int failures_in_a_row_ = 0;
  bool direct_works_ = true;
  net::TimePoint next_probe_at_{};
};

}  // namespace sailgate::cluster
