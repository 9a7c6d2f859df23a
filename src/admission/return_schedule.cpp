#include "admission/return_schedule.hpp"

#include <algorithm>

namespace sailgate::admission {

namespace {

constexpr double kMillisPerSecond = 1000;

/// Time between two slots assigned by one node.
net::Millis retry_interval(const RetryPacing& pacing) {
  if (pacing.starts_per_s <= 0) return pacing.max_delay;
  const double millis =
      kMillisPerSecond * static_cast<double>(pacing.node_count) / pacing.starts_per_s;
  const auto max_delay = static_cast<double>(pacing.max_delay.count());
  return net::Millis(static_cast<std::int64_t>(std::min(millis, max_delay)));
}

}  // namespace

net::Millis RetrySchedule::next_retry_delay(int rank, const RetryPacing& pacing,
                                            net::TimePoint now) {
  const auto interval = retry_interval(pacing);
  const auto phase_offset =
      net::Millis(static_cast<std::int64_t>(phase_ * double(interval.count())));
  auto at = now + pacing.min_delay + phase_offset;
  for (const auto& [other_rank, last_slot] : last_slots_) {
    if (other_rank <= rank) at = std::max(at, last_slot + interval);
  }
  const auto min_time = now + std::min(pacing.min_delay, pacing.max_delay);
  at = std::clamp(at, min_time, now + pacing.max_delay);
  last_slots_[rank] = at;
  return std::chrono::duration_cast<net::Millis>(at - now);
}

}  // namespace sailgate::admission
