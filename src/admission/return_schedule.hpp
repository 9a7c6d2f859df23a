/// @file When callers that were refused may come back.
#pragma once

#include <map>

#include "net/asio.hpp"

namespace sailgate::admission {

/// What the times to come back depend on.
struct RetryPacing {
  double starts_per_s = 0;     ///< programs that the service lets begin, over all nodes
  std::size_t node_count = 1;  ///< that refuse callers, this one among them
  net::Millis min_delay{0};    ///< before this nothing new is known of the load
  net::Millis max_delay{0};    ///< callers do not heed longer times
};

/// Gives refused callers of a service places in an order: by rank, then first come, spaced by this
/// node's share of what the service lets begin.
///
/// Answers the return of all callers after a burst or an outage: at the same time, or drawn by
/// chance, they would be one more burst. A caller of a more urgent rank gets the place that it
/// would have without the less urgent ones; those are refused again before it, if need be.
class RetrySchedule {
 public:
  /// @param phase of this node, in [0, 1): nodes that begin their orders at the same moment would
  /// all give out the same places.
  explicit RetrySchedule(double phase) : phase_(phase) {}

  /// @return time until this caller's place, from pacing.first to pacing.longest.
  net::Millis next_retry_delay(int rank, const RetryPacing& pacing, net::TimePoint now);

 private:
  double phase_;
  std::map<int, net::TimePoint> last_slots_;  ///< place given out last, by rank
};

}  // namespace sailgate::admission
