/// @file The table store's own clock, by which all nodes agree on how old a row is.
#pragma once

#include <cstdint>
#include <optional>

#include "net/asio.hpp"

namespace sailgate::store {

/// Estimate from the newest answer of the store. It is late by at most the time that the answer
/// took. Deterministic, not thread-safe.
class StoreClock {
 public:
  /// An answer that was received now told the store's time. @param store_ms 0: it did not.
  void observe(std::int64_t store_ms, net::TimePoint received_at);
  /// The store's time in milliseconds; nullopt before any answer.
  std::optional<std::int64_t> now(net::TimePoint local) const;

 private:
  std::int64_t store_ms_ = 0;
  net::TimePoint received_at_{};
};

}  // namespace sailgate::store
