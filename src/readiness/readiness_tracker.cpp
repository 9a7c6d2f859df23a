#include "readiness/readiness_tracker.hpp"

#include <algorithm>

namespace sailgate::readiness {

namespace {

/// A process that was not run for this long has old news of everybody.
constexpr net::Millis kPause{600};
/// Time in which fresh news of all comes in after a pause.
constexpr net::Millis kTrustAfterPause{700};
/// The store has to answer this long before callers are asked back: long enough to end a single
/// lucky answer, short against the seconds that callers of the zone spend elsewhere.
constexpr net::Millis kSteadyTime{500};
/// A node that leaves again this soon after its return flaps; its callers are better served by
/// others for longer.
constexpr net::Millis kFlapping{10'000};
/// Each such time doubles the time to return, up to eight times: four seconds.
constexpr int kMostRepeats = 3;

constexpr net::TimePoint kNever{};

net::Millis between(net::TimePoint earlier, net::TimePoint later) {
  return std::chrono::duration_cast<net::Millis>(later - earlier);
}

}  // namespace

net::Millis ReadinessTracker::time_to_return() const { return kSteadyTime * (1 << repeats_); }

net::Millis ReadinessTracker::aside_for(net::TimePoint now) const {
  return steps_aside_ ? between(left_at_, now) : net::Millis(0);
}

net::Millis ReadinessTracker::time_to_elsewhere(net::TimePoint now) const {
  if (!latest_.whole_zone) return net::Millis(0);
  return std::max(kEntryNotices - aside_for(now), net::Millis(0));
}

void ReadinessTracker::leave(net::TimePoint now) {
  const bool again = returned_at_ != kNever && now < returned_at_ + kFlapping;
  repeats_ = again ? std::min(repeats_ + 1, kMostRepeats) : 0;
  steps_aside_ = true;
  left_at_ = now;
  steady_since_ = kNever;
}

void ReadinessTracker::return_when_steady(net::TimePoint now) {
  if (steady_since_ == kNever) steady_since_ = now;
  if (now < steady_since_ + time_to_return()) return;
  steps_aside_ = false;
  returned_at_ = now;
}

bool ReadinessTracker::note(const ReadinessView& view, net::TimePoint now) {
  const bool paused = noted_at_ != kNever && now >= noted_at_ + kPause;
  if (paused) trusted_from_ = now + kTrustAfterPause;
  noted_at_ = now;
  latest_ = decide(view);
  const bool before = steps_aside_;
  if (!latest_.serve) {
    steady_since_ = kNever;
    if (!steps_aside_ && now >= trusted_from_) leave(now);
  } else if (steps_aside_) {
    return_when_steady(now);
  }
  return steps_aside_ != before;
}

}  // namespace sailgate::readiness
