#include "serving/caller_patience.hpp"

#include <algorithm>
#include <cmath>

namespace sailgate::serving {

void CallerWaitEstimator::decay(net::TimePoint now) {
  const std::chrono::duration<double> since = now - decayed_at_;
  const std::chrono::duration<double> half_life = kHalfLife;
  const double share = std::exp2(-since / half_life);
  decayed_at_ = now;
  for (auto& waits : waits_) {
    waits.left *= share;
    waits.stayed *= share;
  }
}

void CallerWaitEstimator::record(net::Millis waited, bool left, net::TimePoint now) {
  decay(now);
  const auto step = std::clamp<std::int64_t>(waited / kStep, 0, kSteps - 1);
  auto& waits = waits_[static_cast<std::size_t>(step)];
  (left ? waits.left : waits.stayed) += 1;
}

net::Millis CallerWaitEstimator::max_wait(net::TimePoint now) {
  decay(now);
  double waiting = 0;
  double left = 0;
  for (const auto& waits : waits_) {
    waiting += waits.left + waits.stayed;
    left += waits.left;
  }
  if (left < kMinDepartures) return kMaxWait;
  double share = 1;
  for (std::size_t step = 0; step < kSteps; ++step) {
    const auto& waits = waits_[step];
    if (waiting > 0) share *= 1 - waits.left / waiting;
    if (share < kStayingShare) return kStep * static_cast<std::int64_t>(step);
    waiting -= waits.left + waits.stayed;
  }
  return kMaxWait;
}

}  // namespace sailgate::serving
