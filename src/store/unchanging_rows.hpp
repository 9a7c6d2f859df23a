/// @file Write-once rows, each stored in any one of several candidate partitions.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.hpp"
#include "store/latency_estimate.hpp"
#include "store/part_health.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

enum class RowLookup { kFound, kAbsent, kUnavailable };

struct RowLookupResult {
  RowLookup lookup = RowLookup::kUnavailable;
  std::string value;
  std::int64_t version = 0;  ///< store version at which the row was absent
};

/// While a partition of the store is unavailable, rows are written to another candidate partition.
/// Since a row never changes, it does not matter which candidates hold it, or whether several do.
///
/// Late and lost responses are handled by hedging: once a response is overdue, a further attempt
/// starts in another candidate partition while the earlier ones stay in flight, and the first
/// response wins. When the store slowed down from 4 to 240 ms, the first write took 1,179 ms if
/// each attempt was abandoned before the next one began, and 240 ms with hedging; when a third of
/// the responses were lost after that, the mean write took 627 ms without hedging and 84 ms with
/// it. Not thread-safe.
class ImmutableRows {
 public:
  /// @param latency shared estimate of the store's response time; updated by every attempt.
  ImmutableRows(net::asio::io_context& context, TableStore& store, LatencyEstimate& latency,
                std::uint64_t seed)
      : context_(context), store_(store), latency_(latency), random_(seed) {}

  /// Writes a row to the first candidate partition that accepts it. Makes one attempt even if the
  /// deadline has passed, and no further one after the store has reported that it is full, which
  /// applies to all partitions: without this rule one row caused 20 calls within 400 ms instead of
  /// one (store_space_test).
  /// @param extra_rows rows written in the same transaction, to the same partition.
  /// @return whether the store confirmed the write.
  net::asio::awaitable<bool> put(std::string table, std::string key, std::string value,
                                 std::vector<Row> extra_rows, net::TimePoint deadline);
  /// Returns kAbsent only if every candidate partition was read.
  net::asio::awaitable<RowLookupResult> find(std::string table, std::string key,
                                             net::TimePoint deadline);

  /// Enables hedging: whether an attempt may start while others are in flight.
  void set_overlapping(bool hedging) { hedging_ = hedging; }

 private:
  /// State of one call and its attempts, several of which may be in flight.
  struct HedgedCall {
    explicit HedgedCall(net::asio::io_context& context) : attempt_ended(context) {}

    net::asio::steady_timer attempt_ended;  ///< cancelled to signal that an attempt ended
    bool started = false;
    std::vector<std::string> in_flight;  ///< partitions of the attempts in flight
    std::size_t new_failures = 0;        ///< refused attempts not yet added to `failures`
    std::size_t failures = 0;            ///< failed attempts since the last backoff
    bool full = false;                   ///< the store is out of space
    bool throttled = false;  ///< an attempt exceeded the store's rate limit since the last backoff
    int rounds = 0;          ///< number of backoffs, each after a failed round of attempts
    std::vector<std::pair<std::string, StoreResult>> responses;  ///< by partition
  };
  using HedgedCallPointer = std::shared_ptr<HedgedCall>;

  net::asio::awaitable<void> attempt_put(HedgedCallPointer call, Transaction transaction,
                                         net::Millis timeout);
  net::asio::awaitable<void> attempt_read(HedgedCallPointer call, RangeRead range,
                                          net::Millis timeout);
  bool may_start_attempt(const HedgedCall& call, net::TimePoint deadline) const;
  /// Selects the partition of the next attempt, moves it to the end of `partitions` and marks it as
  /// in flight.
  static std::string next_partition(HedgedCall& call, std::vector<std::string>& partitions);
  /// Whether a backoff is due: `partitions` attempts have failed, or one was throttled, in which
  /// case other partitions would throttle too because the rate limit applies to the whole store.
  static bool round_failed(HedgedCall& call, std::size_t partitions);
  /// Waits until an attempt ends or `max_wait` has passed.
  net::asio::awaitable<void> wait(HedgedCallPointer call, net::Millis max_wait);
  /// Timeout of an attempt; others may start before it expires.
  net::Millis timeout_for_attempt(const HedgedCall& call, net::TimePoint deadline) const;
  void record(HedgedCall& call, const std::string& partition, StoreResult result,
              net::TimePoint sent_at);

  net::asio::io_context& context_;
  TableStore& store_;
  LatencyEstimate& latency_;
  PartitionHealth health_;
  base::Random random_;
  bool hedging_ = true;
  std::shared_ptr<bool> alive_ =
      std::make_shared<bool>(true);  ///< attempts may outlive this object
};

}  // namespace sailgate::store
