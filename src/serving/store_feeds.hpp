/// @file Change feeds of the table store: configuration, engines and the other nodes.
#pragma once

#include <vector>

#include "routing/configuration_lag.hpp"
#include "serving/engine_entries.hpp"
#include "serving/node_state.hpp"
#include "serving/platform_records.hpp"
#include "store/table_follower.hpp"

namespace sailgate::serving {

/// Applies changes from the feeds to the node's state and registers this node. Not thread-safe.
class StoreFeeds {
 public:
  StoreFeeds(NodeState& state, const PlatformRecords& records, std::int64_t incarnation);

  /// Starts following the feeds and registers this node.
  void start();
  /// Must be called about every 0.1 s.
  void maintain(net::TimePoint now);
  /// Time of the last answer to the configuration or the engine feed; zero: none yet.
  net::TimePoint last_contact() const { return last_contact_; }
  /// Removes this node's row from the table of nodes, unless another process has written it.
  net::asio::awaitable<void> unregister_self();

 private:
  /// Writes this node's row until an answer or the row in the feed confirms it.
  net::asio::awaitable<void> register_self();
  /// Writes the row again after a late write of the process before has replaced or removed it.
  net::asio::awaitable<void> register_again();
  /// Handles news of this node's row.
  void note_own_row(const store::Row& row, bool written_by_self);
  /// Batch times of the feeds, which grow with the number of nodes.
  void update_batch_times();
  void apply_configuration(const store::Row& row);
  void apply_peer_row(const store::Row& row);
  void record_contact(bool reached);
  /// Passes the highest store version known to any node to the feeds, so that they ignore answers
  /// that are older.
  void share_store_version();
  /// Reports when the configuration in force here is older than that of a peer, and reads it if the
  /// feed does not bring it.
  void observe_configuration_lag(net::TimePoint now);
  void log_configuration_lag(net::Millis behind, std::optional<net::Millis> ended);
  /// Reads the configuration directly, until it is the newest that any peer knows of.
  net::asio::awaitable<void> catch_up();
  /// Callbacks that count what goes wrong with the feed of a table.
  store::FollowerCallbacks counting_callbacks(const std::string& table);
  store::FollowerCallbacks configuration_callbacks();
  store::FollowerCallbacks engine_callbacks();
  store::FollowerCallbacks peer_callbacks();

  NodeState& state_;
  const PlatformRecords& records_;
  EngineEntries entries_;
  std::int64_t incarnation_;
  bool registered_ = false;             ///< the row of this process was seen in the feed
  bool registering_ = true;             ///< register_self() is to run or running
  std::int64_t own_row_version_ = 0;    ///< of the row as this process wrote it; 0: not seen yet
  std::int64_t confirmed_version_ = 0;  ///< of the store when it confirmed the registration
  store::TableFollower configuration_follower_;
  store::TableFollower engine_follower_;
  store::TableFollower peer_follower_;
  net::TimePoint last_contact_{};
  routing::ConfigurationLag configuration_lag_;
  bool lag_logged_ = false;
  bool catching_up_ = false;
  net::Millis batch_time_{0};  ///< of the feeds of the configuration and the engines
};

}  // namespace sailgate::serving
