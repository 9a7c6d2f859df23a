/// @file Mirrors an unpartitioned table of the store through its change feed.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "observe/structured_log.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// Events that a follower reports.
struct FollowerCallbacks {
  std::function<void(const std::vector<Row>&)> on_snapshot;  ///< complete contents of the table
  std::function<void(const Row&)> on_change;                 ///< a row was written or removed
  std::function<void(bool)> on_reachability;  ///< whether the latest call reached the store
  /// Optional: a snapshot was discarded because it was older than a version known before.
  std::function<void()> on_discarded_snapshot = [] {};
  /// Optional: a feed call ended without an answer.
  std::function<void()> on_unanswered_feed = [] {};
};

/// Reads a snapshot of the table and then follows its changes; takes a new snapshot when the change
/// history is lost. A snapshot older than a version observed before the read is stale: the first
/// snapshot must not be stale; later on a stale one is taken if it is newer than the mirror, and
/// the table is read again. Every call has a timeout, so that an unresponsive store is detected.
class TableFollower {
 public:
  /// @param batch_delay delay after a feed response with changes, so that the changes that follow
  /// are fetched in one call. An isolated change is not delayed.
  TableFollower(net::asio::io_context& context, TableStore& store, observe::StructuredLog& log,
                std::string table, FollowerCallbacks callbacks, net::Millis batch_delay);

  net::asio::awaitable<void> run();
  void stop() { stopped_ = true; }
  void set_batch_delay(net::Millis delay) { batch_delay_ = delay; }
  /// Another component has observed this version of the store: older snapshots are stale.
  void note_version(std::int64_t version);
  std::int64_t newest_seen() const { return newest_seen_; }
  /// Whether the store is unreachable, or has returned so recently that entries which expired
  /// during the outage may not have been renewed yet. Meanwhile a missing row does not mean that
  /// its owner is down.
  bool entries_may_be_missing(net::TimePoint now) const {
    return !reached_ || now < returned_at_ + kRenewalTime;
  }

 private:
  /// Running owners renew their entries within two seconds of the store's return.
  static constexpr net::Millis kRenewalTime{2200};
  /// Entries survive shorter outages: they expire only after their owners miss several heartbeats.
  static constexpr net::Millis kMinOutage{1000};

  net::asio::awaitable<bool> read_snapshot();
  net::asio::awaitable<bool> follow();
  void note_contact(bool reached);

  net::asio::io_context& context_;
  TableStore& store_;
  observe::StructuredLog& log_;
  std::string table_;
  FollowerCallbacks callbacks_;
  net::Millis batch_delay_;
  std::int64_t version_ = 0;  ///< version that the mirror reflects
  std::int64_t newest_seen_ = 0;
  bool has_snapshot_ = false;  ///< the mirror is complete up to `version_` and can be followed
  bool mirrors_ = false;       ///< any snapshot was taken
  bool reached_ = false;
  net::TimePoint last_contact_{};
  net::TimePoint returned_at_{};  ///< end of the last outage in which entries may have expired
  bool stopped_ = false;
};

}  // namespace sailgate::store
