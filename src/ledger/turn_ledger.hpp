/// @file Stores and reads finished turns of programs in the table store.
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

/// Not thread-safe: use only on the event loop. All operations end before the given deadline.
class TurnLedger {
 public:
  /// @param latency estimate of the store's latency; updated by this class.
  TurnLedger(net::asio::io_context& context, store::TableStore& store,
             const store::StoreClock& clock, store::LatencyEstimate& latency,
             observe::StructuredLog& log, std::uint64_t seed);

  /// Finds a finished turn together with its chain of predecessors.
  net::asio::awaitable<LookupResult> find(std::string id, net::TimePoint deadline);
  /// Returns a turn from the cache; nullptr if it is not cached.
  TurnPointer cached(const std::string& id) const { return cache_.find(id); }
  /// Caches a chain of turns that are known to be durable. Turns that are already cached are
  /// shared, not copied.
  /// @return the last turn. @throws std::invalid_argument if the row has no segments.
  TurnPointer cache_chain(const wire::TurnRow& row, TurnPointer earlier);

  /// Sets whether a call for a row may start while earlier calls for it are pending.
  void set_overlapping(bool overlapping) { rows_.set_overlapping(overlapping); }

  /// Stores a finished turn and its chain durably for at least `retention`. @return whether this
  /// succeeded.
  net::asio::awaitable<bool> record(TurnPointer turn, net::Millis retention,
                                    net::TimePoint deadline);

 private:
  /// State of several concurrent row reads.
  struct RowReads {
    RowReads(net::asio::io_context& context, std::size_t count)
        : ended(context), found(count), pending(count) {}
    net::asio::steady_timer ended;  ///< cancelled when the last read ends
    std::vector<store::RowLookupResult> found;
    std::size_t pending;
  };
  /// Rows of a chain in the order they were read, newest first.
  struct ChainRead {
    LookupOutcome outcome = LookupOutcome::kFound;
    std::vector<wire::TurnRow> rows;
    TurnPointer known;  ///< cached predecessor of the oldest row; nullptr if there is none
  };

  net::asio::awaitable<ChainRead> read_chain(std::string id, net::TimePoint deadline);
  net::asio::awaitable<std::vector<store::RowLookupResult>> read_rows(std::vector<std::string> ids,
                                                                      net::TimePoint deadline);
  net::asio::awaitable<void> read_row(std::shared_ptr<RowReads> reads, std::size_t index,
                                      std::string id, net::TimePoint deadline);
  /// Returns the ancestors of a row that must be read, nearest first. @param known set to the
  /// nearest cached ancestor.
  std::vector<std::string> uncached_ancestors(const wire::TurnRow& row, TurnPointer& known) const;
  /// Rewrites the rows of a turn's ancestors that would expire before `retention` has passed.
  net::asio::awaitable<bool> extend_ancestors(TurnPointer turn, net::Millis retention,
                                              net::TimePoint deadline);
  /// Writes the row of a single turn.
  net::asio::awaitable<bool> store_row(TurnPointer turn, net::Millis retention,
                                       net::TimePoint deadline);

  net::asio::io_context& context_;
  const store::StoreClock& clock_;
  store::ImmutableRows rows_;
  observe::StructuredLog& log_;
  TurnCache cache_;
};

}  // namespace sailgate::ledger
