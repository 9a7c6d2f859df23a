/// @file Rows that are written once and never change, kept in any one of several parts.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "store/latency_estimate.hpp"
#include "store/pace.hpp"
#include "store/part_health.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

enum class RowLookup { kFound, kAbsent, kUnavailable };

struct RowFound {
  RowLookup lookup = RowLookup::kUnavailable;
  std::string value;
  std::int64_t version = 0;  ///< of the store, when absence was seen
};

/// While a part of the store is out of service, rows go to another of their candidate parts. Since
/// a row never changes, it does not matter which of them has it, nor whether several have.
/// Not thread-safe.
class UnchangingRows {
 public:
  /// @param latency what is known of the store's answer times; kept up here.
  UnchangingRows(net::asio::io_context& context, TableStore& store, LatencyEstimate& latency,
                 std::uint64_t seed)
      : context_(context), store_(store), latency_(latency), random_(seed) {}

  /// Writes a row to the first candidate part that takes it. One try is made even when the deadline
  /// is over. @return whether the store has it.
  /// @param companions rows that are written in the same transaction, in the part that is chosen.
  net::asio::awaitable<bool> put(std::string table, std::string key, std::string value,
                                 std::vector<Row> companions, net::TimePoint deadline);
  /// Absent is said only when every candidate part was read.
  net::asio::awaitable<RowFound> find(std::string table, std::string key, net::TimePoint deadline);

 private:
  /// Notes how a try at a part ended. @return whether time for another one is left.
  bool note(const Pace& pace, const std::string& part, StoreStatus status, net::TimePoint sent_at);
  /// Waits between two rounds over the parts. @return false when the deadline is over.
  net::asio::awaitable<bool> pause(Pace& pace);
  net::asio::awaitable<StoreResult> read(std::string table, std::string part, std::string key,
                                         net::Millis timeout);

  net::asio::io_context& context_;
  TableStore& store_;
  LatencyEstimate& latency_;
  PartHealth health_;
  base::Random random_;
};

}  // namespace sailgate::store
