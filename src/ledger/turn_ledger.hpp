/// @file Finished turns of programs, kept in the table store.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "ledger/turn_cache.hpp"
#include "ledger_types.h"
#include "observe/structured_log.hpp"
#include "store/store_clock.hpp"
#include "store/unchanging_rows.hpp"

namespace sailgate::ledger {

enum class LookupOutcome { kFound, kAbsent, kUnavailable };

struct LookupResult {
  LookupOutcome outcome = LookupOutcome::kUnavailable;
  TurnPointer turn;
};

/// Not thread-safe: belongs to the event loop. All waits end before the given deadline.
class TurnLedger {
 public:
  /// @param latency what is known of the store's answer times; kept up here.
  TurnLedger(net::asio::io_context& context, store::TableStore& store,
             const store::StoreClock& clock, store::LatencyEstimate& latency,
             observe::StructuredLog& log, std::uint64_t seed);

  /// A finished turn with its whole chain.
  net::asio::awaitable<LookupResult> find(std::string id, net::TimePoint deadline);
  /// A turn that needs no read; nullptr when there is none.
  TurnPointer cached(const std::string& id) const { return cache_.find(id); }
  /// Takes turns that another node knows to be durable. Cached ones are shared, not copied.
  /// @return the last one. @throws std::invalid_argument when there are no segments.
  TurnPointer cache_chain(const wire::TurnRow& row, TurnPointer earlier);

  /// Whether a call for a row may begin while earlier ones for it are still waited for.
  void set_overlapping(bool overlapping) { rows_.set_overlapping(overlapping); }

  /// Makes a finished turn durable, with its chain, for at least `retention`. @return whether it
  /// is.
  net::asio::awaitable<bool> record(TurnPointer turn, net::Millis retention,
                                    net::TimePoint deadline);

 private:
  /// Reads of several rows, side by side.
  struct RowReads {
    RowReads(net::asio::io_context& context, std::size_t count)
        : ended(context), found(count), under_way(count) {}
    net::asio::steady_timer ended;  ///< cancelled when the last one ends
    std::vector<store::RowFound> found;
    std::size_t under_way;
  };
  /// Rows of a chain as they were read, newest first.
  struct ChainRead {
    LookupOutcome outcome = LookupOutcome::kFound;
    std::vector<wire::TurnRow> rows;
    TurnPointer known;  ///< what comes before the oldest row; nullptr: nothing
  };

  net::asio::awaitable<ChainRead> read_chain(std::string id, net::TimePoint deadline);
  net::asio::awaitable<std::vector<store::RowFound>> read_rows(std::vector<std::string> ids,
                                                               net::TimePoint deadline);
  net::asio::awaitable<void> read_row(std::shared_ptr<RowReads> reads, std::size_t index,
                                      std::string id, net::TimePoint deadline);
  /// Predecessors that have to be read after a row, nearest first. @param known set to the first
  /// one that needs no read.
  std::vector<std::string> unread_before(const wire::TurnRow& row, TurnPointer& known) const;
  /// Writes again the rows of a turn's predecessors where they would expire too soon.
  net::asio::awaitable<bool> extend_chain(TurnPointer turn, net::Millis retention,
                                          net::TimePoint deadline);
  /// Writes a turn's own row.
  net::asio::awaitable<bool> store_row(TurnPointer turn, net::Millis retention,
                                       net::TimePoint deadline);

  net::asio::io_context& context_;
  const store::StoreClock& clock_;
  store::UnchangingRows rows_;
  observe::StructuredLog& log_;
  TurnCache cache_;
};

}  // namespace sailgate::ledger
