/// @file Requests of a window by their age.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

#include "net/asio.hpp"

namespace sailgate::quota {

constexpr std::size_t kWindowBuckets = 10;

/// Requests of each tenth of a window, the sum_latest_buckets first.
using BucketCounts = std::array<double, kWindowBuckets>;

/// Length of a part.
inline net::Millis bucket_length(net::Millis window) {
  return std::max(window / static_cast<std::int64_t>(kWindowBuckets), net::Millis(1));
}

/// Requests of the sum_latest_buckets `parts` parts.
inline double sum_latest_buckets(const BucketCounts& counts, std::size_t parts) {
  return std::accumulate(counts.begin(), counts.begin() + parts, 0.0);
}

}  // namespace sailgate::quota
