/// @file Retry times of refused callers.
#pragma once

#include <map>

#include "net/asio.hpp"

namespace sailgate::admission {

/// Inputs of the retry delays.
struct RetryPacing {
  double starts_per_s = 0;     ///< programs that the service admits, on all nodes
  std::size_t node_count = 1;  ///< nodes that refuse callers, including this one
  net::Millis min_delay{0};    ///< no newer load reports arrive before
  net::Millis max_delay{0};    ///< callers ignore longer delays
};

/// Assigns retry slots to refused callers of a service: ordered by rank, then by arrival, and
/// spaced by this node's share of the service's admission rate.
///
/// Spreads the retries after a burst or an outage: if all callers retried at the same time, or
/// after random delays, they would form another burst. A caller of a more urgent rank gets the slot
/// that it would have without the less urgent callers; where slots collide, the less urgent ones
/// are refused again.
class RetrySchedule {
 public:
  /// @param phase offset of this node in the interval between slots, in [0, 1): without it, nodes
  /// that start their schedules at the same moment would all assign the same slots.
  explicit RetrySchedule(double phase) : phase_(phase) {}

  /// @return time until this caller's slot, from pacing.min_delay to pacing.max_delay.
  net::Millis next_retry_delay(int rank, const RetryPacing& pacing, net::TimePoint now);

 private:
  double phase_;
  std::map<int, net::TimePoint> last_slots_;  ///< last slot assigned, by rank
};

}  // namespace sailgate::admission
