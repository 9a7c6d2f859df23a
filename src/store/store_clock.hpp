/// @file Estimate of the table store's clock, the common reference of all nodes for the age of
/// rows.
#pragma once

#include <cstdint>
#include <optional>

#include "net/asio.hpp"

namespace sailgate::store {

/// Extrapolates from the latest response of the store. The estimate lags by at most the latency of
/// that response. Deterministic, not thread-safe.
class StoreClock {
 public:
  /// Records the store's time from a response. @param store_ms 0: the response did not contain it.
  void observe(std::int64_t store_ms, net::TimePoint received_at);
  /// The store's time in milliseconds; nullopt before the first response.
  std::optional<std::int64_t> now(net::TimePoint local) const;

 private:
  std::int64_t store_ms_ = 0;
  net::TimePoint received_at_{};
};

}  // namespace sailgate::store
