/// @file Requests of a window by their age.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

#include "net/asio.hpp"

namespace sailgate::quota {

constexpr std::size_t kWindowParts = 10;

/// Requests of each tenth of a window, the latest first.
using PartCounts = std::array<double, kWindowParts>;

/// Length of a part.
inline net::Millis part_of(net::Millis window) {
  return std::max(window / static_cast<std::int64_t>(kWindowParts), net::Millis(1));
}

/// Requests of the latest `parts` parts.
inline double latest(const PartCounts& counts, std::size_t parts) {
  return std::accumulate(counts.begin(), counts.begin() + parts, 0.0);
}

}  // namespace sailgate::quota
