/// @file Mirrors one part-less table of the store by its change feed.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "observe/structured_log.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// What a follower tells its owner.
struct FollowerCallbacks {
  std::function<void(const std::vector<Row>&)> on_snapshot;  ///< the table as it is
  std::function<void(const Row&)> on_change;                 ///< one row changed or is gone
  std::function<void(bool)> on_reachability;                 ///< the store was reached, or was not
};

/// Steps: read the table whole; follow its changes; when the history is lost, read it whole again.
/// An answer older than one already seen is not taken over. Every wait has a timeout of its own, so
/// that a silent store is noticed.
class TableFollower {
 public:
  /// @param gather after changes came, those that follow them are waited for this long and fetched
  /// in one call. A change that comes alone is not delayed.
  TableFollower(net::asio::io_context& context, TableStore& store, observe::StructuredLog& log,
                std::string table, FollowerCallbacks callbacks, net::Millis gather);

  net::asio::awaitable<void> run();
  void stop() { stopped_ = true; }
  /// Somebody has seen this version of the store: older answers are stale.
  void note_version(std::int64_t version);
  std::int64_t newest_seen() const { return newest_seen_; }
  /// Whether the store is away, or came back so lately that entries which lapsed meanwhile may not
  /// be back yet: a row that is gone does not tell that its owner is.
  bool entries_may_be_missing(net::TimePoint now) const {
    return !reached_ || now < returned_at_ + kReturnTime;
  }

 private:
  /// Owners that live renew their entries within two seconds of the store's return.
  static constexpr net::Millis kReturnTime{2200};
  /// Entries outlast shorter absences: they lapse after some missed heartbeats of their owners.
  static constexpr net::Millis kShortestAbsence{1000};

  net::asio::awaitable<bool> read_whole();
  net::asio::awaitable<bool> follow();
  void note_contact(bool reached);

  net::asio::io_context& context_;
  TableStore& store_;
  observe::StructuredLog& log_;
  std::string table_;
  FollowerCallbacks callbacks_;
  net::Millis gather_;
  std::int64_t version_ = 0;  ///< of the mirror
  std::int64_t newest_seen_ = 0;
  bool whole_ = false;
  bool reached_ = false;
  net::TimePoint last_contact_{};
  net::TimePoint returned_at_{};  ///< after the last absence in which entries may have lapsed
  bool stopped_ = false;
};

}  // namespace sailgate::store
