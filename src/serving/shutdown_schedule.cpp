#include "serving/shutdown_schedule.hpp"

#include <algorithm>

#include "readiness/readiness_tracker.hpp"

namespace sailgate::serving {

namespace {

/// The listener stays open this long after the load balancer's detection time, because connections
/// opened until then still arrive.
constexpr net::Millis kLateConnectionTime{1000};
/// A graceful shutdown ends this long before the process would be killed.
constexpr net::Millis kExitMargin{700};
/// Time to write a response after its request's deadline.
constexpr net::Millis kResponseTime{50};

}  // namespace

void ShutdownSchedule::begin(net::TimePoint now, net::Millis grace) {
  began_ = now;
  grace_ = grace;
}

net::TimePoint ShutdownSchedule::connections_close_at() const {
  return *began_ + readiness::kLoadBalancerDetectionTime + kLateConnectionTime;
}

net::TimePoint ShutdownSchedule::exits_at() const { return *began_ + grace_ - kExitMargin; }

net::TimePoint ShutdownSchedule::last_deadline() const { return exits_at() - kResponseTime; }

bool ShutdownSchedule::can_finish(const RequestTiming& request, net::TimePoint now) const {
  if (request.deadline <= last_deadline()) return true;
  if (!request.expected) return false;
  // From now on callers reach other nodes, so a stream that might be cut is better begun there.
  const bool callers_redirected = now >= *began_ + readiness::kLoadBalancerDetectionTime;
  if (request.streamed && callers_redirected) return false;
  return now + *request.expected <= last_deadline();
}

}  // namespace sailgate::serving
