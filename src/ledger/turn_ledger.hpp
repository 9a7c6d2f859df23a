/// @file Finished turns of programs, kept in the table store.
#pragma once

#include <cstdint>
#include <string>

#include "ledger/turn_cache.hpp"
#include "ledger_types.h"
#include "observe/structured_log.hpp"
#include "store/store_clock.hpp"
#include "store/unchanging_rows.hpp"

namespace sailgate::ledger {

enum class LookupOutcome { kFound, kAbsent, kUnavailable };

struct Lookup {
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
  net::asio::awaitable<Lookup> find(std::string id, net::TimePoint deadline);
  /// A turn that needs no read; nullptr when there is none.
  TurnPointer cached(const std::string& id) const { return cache_.find(id); }
  /// Takes turns that another node knows to be durable. Cached ones are shared, not copied.
  /// @return the last one. @throws std::invalid_argument when there are no segments.
  TurnPointer remember_chain(const wire::TurnRow& row, TurnPointer earlier);

  /// Whether a call for a row may begin while earlier ones for it are still waited for.
  void set_overlapping(bool overlapping) { rows_.set_overlapping(overlapping); }

  /// Makes a finished turn durable, with its chain, for at least `retention`. @return whether it
  /// is.
  net::asio::awaitable<bool> record(TurnPointer turn, net::Millis retention,
                                    net::TimePoint deadline);

 private:
  /// Writes again the rows that a turn's chain refers to where they would expire too soon.
  net::asio::awaitable<bool> extend_chain(TurnPointer turn, net::Millis retention,
                                          net::TimePoint deadline);
  /// Writes a turn's own row.
  net::asio::awaitable<bool> store_row(TurnPointer turn, net::Millis retention,
                                       net::TimePoint deadline);

  const store::StoreClock& clock_;
  store::UnchangingRows rows_;
  observe::StructuredLog& log_;
  TurnCache cache_;
};

}  // namespace sailgate::ledger
