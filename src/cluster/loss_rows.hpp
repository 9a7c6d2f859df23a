/// @file What nodes know of requests that lost engines, kept in the table store.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/store_relay.hpp"
#include "cluster_types.h"
#include "observe/structured_log.hpp"
#include "store/retrying_store.hpp"

namespace sailgate::cluster {

/// One row for each request, so that what was stored outlives the processes that know of it. All
/// rows are in one partition: a node that starts reads them in one range, and what is waiting to be
/// written shares a transaction. Not thread-safe.
class LossRows {
 public:
  /// Returns what this node knows of a request; nullopt if it has forgotten it.
  using Compose = std::function<std::optional<wire::RequestLosses>(const std::string&)>;
  /// Takes over what a row holds.
  using Merge = std::function<void(const wire::RequestLosses&)>;

  /// @param nodes returns the number of nodes that share the store's rate limit.
  LossRows(net::asio::io_context& context, StoreRelay& store, observe::StructuredLog& log,
           std::function<std::size_t()> nodes, std::uint64_t seed, Compose compose, Merge merge);

  /// A write that was asked for, possibly together with others.
  class Write;
  using WritePointer = std::shared_ptr<Write>;

  /// Stores what is known of the request, merged with what other nodes have stored. Repeated for a
  /// while if the store fails.
  WritePointer save(const std::string& fingerprint);
  /// Waits until the store has confirmed the write, unless the store is known to be unreachable.
  /// @return whether it has.
  net::asio::awaitable<bool> wait(WritePointer write, net::TimePoint deadline);
  /// Whether the store has confirmed the write.
  static bool is_stored(const Write& write);
  /// Reads all rows. @return whether the store returned them.
  net::asio::awaitable<bool> load();

  /// Whether there may be a row for the request.
  bool may_hold(const std::string& fingerprint) const { return versions_.count(fingerprint) > 0; }
  /// Drops what this node remembers of the request's row.
  void forget(const std::string& fingerprint) { versions_.erase(fingerprint); }

  /// Transactions that all nodes together may begin in a second, a small share of what the store
  /// takes. Each holds the losses of up to 32 requests.
  static constexpr std::size_t kFleetWritesPerSecond = 100;

 private:
  using Writes = std::map<std::string, WritePointer>;

  /// Writes what is waiting until nothing is.
  net::asio::awaitable<void> run();
  /// Takes the next writes out of those that are waiting.
  Writes next_batch();
  store::Transaction compose_transaction(Writes& batch, std::int64_t now) const;
  void put_row(store::Transaction& transaction, const std::string& fingerprint,
               wire::RequestLosses losses, std::int64_t now) const;
  /// Handles the result of a transaction that put the rows `written`. @return whether the store
  /// processed it.
  bool settle(Writes& batch, const std::vector<store::Row>& written,
              const store::StoreResult& result);
  void finish(Writes& batch, const std::string& fingerprint, std::int64_t version);
  /// Puts writes that were not done back, except those that are too old.
  void put_back(Writes& batch);
  void take_over(const store::Row& row);
  /// Delay before the next transaction that keeps this node within its share.
  net::Millis reserve_transaction(net::TimePoint now);

  net::asio::io_context& context_;
  StoreRelay& store_;
  store::RetryingStore rows_;
  observe::StructuredLog& log_;
  std::function<std::size_t()> nodes_;
  Compose compose_;
  Merge merge_;
  Writes waiting_;  ///< by fingerprint
  bool running_ = false;
  net::TimePoint share_used_until_{};
  std::unordered_map<std::string, std::int64_t> versions_;  ///< of the rows, by fingerprint
};

}  // namespace sailgate::cluster
