/// @file Histogram of a window's requests by age.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

#include "net/asio.hpp"

namespace sailgate::quota {

constexpr std::size_t kWindowBuckets = 10;

/// Requests in each tenth of a window, latest first.
using BucketCounts = std::array<double, kWindowBuckets>;

/// Duration of one bucket.
inline net::Millis bucket_length(net::Millis window) {
  return std::max(window / static_cast<std::int64_t>(kWindowBuckets), net::Millis(1));
}

/// Requests in the latest `buckets` buckets.
inline double sum_latest_buckets(const BucketCounts& counts, std::size_t buckets) {
  return std::accumulate(counts.begin(), counts.begin() + buckets, 0.0);
}

}  // namespace sailgate::quota
