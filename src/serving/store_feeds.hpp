/// @file What a node follows in the table store: configuration, engines, the other nodes.
#pragma once

#include <vector>

#include "serving/engine_entries.hpp"
#include "serving/node_state.hpp"
#include "serving/platform_records.hpp"
#include "store/table_follower.hpp"

namespace sailgate::serving {

/// Takes changes over into the node's state, and keeps this node's own row. Not thread-safe.
class StoreFeeds {
 public:
  StoreFeeds(NodeState& state, const PlatformRecords& records, std::int64_t incarnation);

  /// Begins to follow, and registers this node.
  void start();
  /// Called every 0.1 s or so.
  void maintain(net::TimePoint now);
  /// Last time that a feed was answered.
  net::TimePoint last_contact() const { return last_contact_; }
  /// Removes this node's row.
  net::asio::awaitable<void> unregister_self();

 private:
  net::asio::awaitable<void> register_self();
  void apply_configuration(const store::Row& row);
  void apply_peer_row(const store::Row& row);
  void record_contact(bool reached);
  /// Answers of the store that are older than what some node has seen are not taken over.
  void share_store_version();
  store::FollowerCallbacks configuration_callbacks();
  store::FollowerCallbacks engine_callbacks();
  store::FollowerCallbacks peer_callbacks();

  NodeState& state_;
  const PlatformRecords& records_;
  EngineEntries entries_;
  std::int64_t incarnation_;
  store::TableFollower configuration_follower_;
  store::TableFollower engine_follower_;
  store::TableFollower peer_follower_;
  net::TimePoint last_contact_{};
};

}  // namespace sailgate::serving
