/// @file Calls to the table store that are repeated until they are answered.
#pragma once

#include <optional>

#include "base/random.hpp"
#include "store/latency_estimate.hpp"
#include "store/pace.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// A call without an answer is sent again with the same conditions: of such repeats at most one
/// takes effect, and a conflict shows the rows as they are. Unconditional writes must be
/// idempotent. Not thread-safe.
class RetryingStore {
 public:
  RetryingStore(net::asio::io_context& context, TableStore& store, std::uint64_t seed)
      : context_(context), store_(store), random_(seed) {}

  /// Ends with kDone, kConflict or kFull, or at the deadline with what the last try gave. One try
  /// is made even when the deadline is over.
  net::asio::awaitable<StoreResult> transact(Transaction transaction, net::TimePoint deadline);
  net::asio::awaitable<StoreResult> read(RangeRead range, net::TimePoint deadline);

  /// One try at the caller's pace, which becomes more patient when there is no answer: for callers
  /// that have another way to go on.
  net::asio::awaitable<StoreResult> transact_once(Transaction transaction, RetryBackoff& pace);
  RetryBackoff begin(net::TimePoint deadline) const {
    return RetryBackoff(deadline, latency_.attempt_timeout());
  }

  /// Time in which the store answers a call, if it does.
  net::Millis attempt_timeout() const { return latency_.attempt_timeout(); }
  LatencyEstimate& latency() { return latency_; }

 private:
  /// Notes how a try ended. @return how long to wait before the next one; nullopt: that was the
  /// last.
  std::optional<net::Millis> next(RetryBackoff& pace, const StoreResult& result,
                                  net::TimePoint sent_at);

  net::asio::io_context& context_;
  TableStore& store_;
  base::Random random_;
  LatencyEstimate latency_;
};

}  // namespace sailgate::store
