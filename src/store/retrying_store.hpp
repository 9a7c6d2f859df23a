/// @file Table store client that retries calls until their deadline.
#pragma once

#include <optional>

#include "base/random.hpp"
#include "store/latency_estimate.hpp"
#include "store/pace.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// A call without a response is repeated with the same conditions: at most one of the attempts
/// takes effect, and a conflict returns the stored rows. Unconditional writes must be idempotent.
/// Not thread-safe.
class RetryingStore {
 public:
  RetryingStore(net::asio::io_context& context, TableStore& store, std::uint64_t seed)
      : context_(context), store_(store), random_(seed) {}

  /// Returns kDone, kConflict or kFull, or at the deadline the result of the last attempt. Makes
  /// one attempt even if the deadline has passed.
  net::asio::awaitable<StoreResult> transact(Transaction transaction, net::TimePoint deadline);
  net::asio::awaitable<StoreResult> read(RangeRead range, net::TimePoint deadline);

  /// Makes a single attempt, for callers with a fallback of their own. Increases the attempt
  /// timeout in `backoff` if there was no response.
  net::asio::awaitable<StoreResult> transact_once(Transaction transaction, RetryBackoff& backoff);
  RetryBackoff begin(net::TimePoint deadline) const {
    return RetryBackoff(deadline, latency_.attempt_timeout());
  }

  /// Time within which the store responds to a call unless the response is lost.
  net::Millis attempt_timeout() const { return latency_.attempt_timeout(); }
  LatencyEstimate& latency() { return latency_; }

 private:
  /// Records the result of an attempt. @return delay before the next attempt; nullopt: no further
  /// attempt.
  std::optional<net::Millis> next_delay(RetryBackoff& backoff, const StoreResult& result,
                                        net::TimePoint sent_at);

  net::asio::io_context& context_;
  TableStore& store_;
  base::Random random_;
  LatencyEstimate latency_;
};

}  // namespace sailgate::store
