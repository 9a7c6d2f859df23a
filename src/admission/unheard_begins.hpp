/// @file Estimate of the programs that other nodes have admitted since their last reports.
///
/// Handles many callers arriving at the same moment, as after an outage: the known load is as old
/// as the reports of the other nodes, and judged by it all callers could be admitted.
#pragma once

#include <algorithm>
#include <cmath>

#include "net/asio.hpp"

namespace sailgate::admission {

/// Maximum age of the loads reported by other nodes.
inline constexpr net::Millis kMaxPeerReportAge{400};
/// Standard deviations above the mean that still count as random variation. At two, about one count
/// in twenty lies outside by chance, so that nodes with an uneven part of the callers rarely
/// mistake it for a burst on all nodes.
inline constexpr double kNoiseStdDevs = 2;

/// This node's starts above its normal rate, multiplied by the number of other nodes: callers are
/// assumed to be spread evenly. Of 1,200 callers that reach 12 nodes at once on top of the normal
/// load, 60 in 100 finish in time with this estimate instead of 43; under three times the normal
/// load for 6 s, 68 instead of 60 to 63 (simulated time, refused callers retry after 0.4 s or
/// later).
/// @param recent programs that this node started within kMaxPeerReportAge. @param expected mean
/// number of starts in an interval of that length. @param others number of other nodes that callers
/// reach; the node knows its own requests.
inline double estimate_unreported_starts(double recent, double expected, std::size_t others) {
  const double excess = recent - expected - kNoiseStdDevs * std::sqrt(expected + 1);
  return std::max(0.0, excess) * static_cast<double>(others);
}

}  // namespace sailgate::admission
