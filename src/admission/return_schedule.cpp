#include "admission/return_schedule.hpp"

#include <algorithm>

namespace sailgate::admission {

namespace {

constexpr double kMillisPerSecond = 1000;

/// Time between two places of one node.
net::Millis spacing(const ReturnPace& pace) {
  if (pace.begins_per_s <= 0) return pace.longest;
  const double millis = kMillisPerSecond * static_cast<double>(pace.nodes) / pace.begins_per_s;
  const auto longest = static_cast<double>(pace.longest.count());
  return net::Millis(static_cast<std::int64_t>(std::min(millis, longest)));
}

}  // namespace

net::Millis ReturnSchedule::place(int rank, const ReturnPace& pace, net::TimePoint now) {
  const auto gap = spacing(pace);
  const auto part = net::Millis(static_cast<std::int64_t>(phase_ * double(gap.count())));
  auto at = now + pace.first + part;
  for (const auto& [other, last] : last_) {
    if (other <= rank) at = std::max(at, last + gap);
  }
  const auto earliest = now + std::min(pace.first, pace.longest);
  at = std::clamp(at, earliest, now + pace.longest);
  last_[rank] = at;
  return std::chrono::duration_cast<net::Millis>(at - now);
}

}  // namespace sailgate::admission
