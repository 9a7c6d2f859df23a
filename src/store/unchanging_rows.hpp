/// @file Rows that are written once and never change, kept in any one of several parts.
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
  std::int64_t version = 0;  ///< of the store, when absence was seen
};

/// While a part of the store is out of service, rows go to another of their candidate parts. Since
/// a row never changes, it does not matter which of them has it, nor whether several have.
/// Answers that are late or lost: from when answers usually come a further try begins, in another
/// candidate part, while the ones before are still waited for, and the first answer counts. With a
/// store that turned from 4 to 240 ms the first write took 1,179 ms when each try was given up
/// before the next one began, 240 ms so; while a third of the answers were lost after that, writes
/// took 627 ms in the mean, 84 ms so.
/// Not thread-safe.
class ImmutableRows {
 public:
  /// @param latency what is known of the store's answer times; kept up here.
  ImmutableRows(net::asio::io_context& context, TableStore& store, LatencyEstimate& latency,
                std::uint64_t seed)
      : context_(context), store_(store), latency_(latency), random_(seed) {}

  /// Writes a row to the first candidate part that takes it. One try is made even when the deadline
  /// is over, and none after the store said that it is full, which holds for all parts: a row made
  /// 20 calls in 400 ms without this, one with it (store_space_test).
  /// @return whether the store has it.
  /// @param companions rows that are written in the same transaction, in the part that is chosen.
  net::asio::awaitable<bool> put(std::string table, std::string key, std::string value,
                                 std::vector<Row> companions, net::TimePoint deadline);
  /// Absent is said only when every candidate part was read.
  net::asio::awaitable<RowLookupResult> find(std::string table, std::string key,
                                             net::TimePoint deadline);

  /// Whether a try may begin while others are under way.
  void set_overlapping(bool overlapping) { overlapping_ = overlapping; }

 private:
  /// The tries of one call, of which several may be under way.
  struct Race {
    explicit Race(net::asio::io_context& context) : ended(context) {}

    net::asio::steady_timer ended;  ///< cancelled when a try ends
    bool begun = false;
    std::vector<std::string> under_way;  ///< parts
    std::size_t failed = 0;              ///< tries, since the last look
    std::size_t failures = 0;            ///< tries, since the last pause
    bool full = false;                   ///< the store has no space
    bool throttled = false;  ///< a try was beyond the store's rate, since the last pause
    int rounds = 0;          ///< in which as many tries failed as there are parts
    std::vector<std::pair<std::string, StoreResult>> answers;  ///< with their parts
  };
  using RacePointer = std::shared_ptr<Race>;

  net::asio::awaitable<void> try_put(RacePointer race, Transaction transaction, net::Millis limit);
  net::asio::awaitable<void> try_read(RacePointer race, RangeRead range, net::Millis limit);
  bool may_begin_try(const Race& race, net::TimePoint deadline) const;
  /// Part of the next try, of those in this order, which changes; it is under way then.
  static std::string next_part(Race& race, std::vector<std::string>& parts);
  /// Whether a pause is due: so many tries have failed, or one was beyond the store's rate, of
  /// which other parts have no more.
  static bool round_failed(Race& race, std::size_t parts);
  /// Waits until a try ends, at most so long.
  net::asio::awaitable<void> wait(RacePointer race, net::Millis longest);
  /// How long a try is waited for: others may begin meanwhile.
  net::Millis limit_of_try(const Race& race, net::TimePoint deadline) const;
  void take(Race& race, const std::string& part, StoreResult result, net::TimePoint sent_at);

  net::asio::io_context& context_;
  TableStore& store_;
  LatencyEstimate& latency_;
  PartitionHealth health_;
  base::Random random_;
  bool overlapping_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< tries may outlive their call
};

}  // namespace sailgate::store
