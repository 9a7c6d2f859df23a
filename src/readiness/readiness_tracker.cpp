#include "readiness/readiness_tracker.hpp"

#include <algorithm>

namespace sailgate::readiness {

namespace {

/// A process that was suspended for this long has outdated information about all nodes.
constexpr net::Millis kMinPause{600};
/// Time in which fresh beacons of all nodes arrive after a suspension.
constexpr net::Millis kTrustAfterPause{700};
/// Time for which the store must answer before the node becomes ready again: long enough to rule
/// out a single successful call, short compared with the seconds that callers of the zone spend on
/// other nodes.
constexpr net::Millis kMinStableTime{500};
/// A node that steps aside again within this time after its return is flapping; its callers are
/// better served by other nodes for longer.
constexpr net::Millis kFlapWindow{10'000};
/// Each flap doubles the required stable time, up to eight times its initial value: four seconds.
constexpr int kMaxFlapDoublings = 3;

constexpr net::TimePoint kNever{};

net::Millis elapsed(net::TimePoint earlier, net::TimePoint later) {
  return std::chrono::duration_cast<net::Millis>(later - earlier);
}

}  // namespace

net::Millis ReadinessTracker::required_stable_time() const {
  return kMinStableTime * (1 << consecutive_flaps_);
}

net::Millis ReadinessTracker::time_aside(net::TimePoint now) const {
  return steps_aside_ ? elapsed(left_at_, now) : net::Millis(0);
}

net::Millis ReadinessTracker::time_to_failover(net::TimePoint now) const {
  if (!latest_.whole_zone) return net::Millis(0);
  return std::max(kLoadBalancerDetectionTime - time_aside(now), net::Millis(0));
}

void ReadinessTracker::leave(net::TimePoint now) {
  const bool again = returned_at_ != kNever && now < returned_at_ + kFlapWindow;
  consecutive_flaps_ = again ? std::min(consecutive_flaps_ + 1, kMaxFlapDoublings) : 0;
  steps_aside_ = true;
  left_at_ = now;
  stable_since_ = kNever;
}

void ReadinessTracker::rejoin_when_stable(net::TimePoint now) {
  if (stable_since_ == kNever) stable_since_ = now;
  if (now < stable_since_ + required_stable_time()) return;
  steps_aside_ = false;
  returned_at_ = now;
}

bool ReadinessTracker::update(const ReadinessView& view, net::TimePoint now) {
  const bool paused = updated_at_ != kNever && now >= updated_at_ + kMinPause;
  if (paused) trusted_from_ = now + kTrustAfterPause;
  updated_at_ = now;
  latest_ = decide(view);
  const bool was_aside = steps_aside_;
  if (!latest_.serve) {
    stable_since_ = kNever;
    if (!steps_aside_ && now >= trusted_from_) leave(now);
  } else if (steps_aside_) {
    rejoin_when_stable(now);
  }
  return steps_aside_ != was_aside;
}

}  // namespace sailgate::readiness
