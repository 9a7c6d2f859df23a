#include "balancing/recent_runs.hpp"

#include <algorithm>

namespace sailgate::balancing {

void RecentRuns::add(const std::string& id, net::TimePoint at) {
  if (!times_.emplace(id, at).second) return;
  by_age_.push_back(id);
  if (by_age_.size() <= limit_) return;
  times_.erase(by_age_.front());
  by_age_.pop_front();
}

void RecentRuns::erase(const std::string& id) {
  if (times_.erase(id) == 0) return;
  by_age_.erase(std::find(by_age_.begin(), by_age_.end(), id));
}

std::optional<net::TimePoint> RecentRuns::time_of(const std::string& id) const {
  const auto known = times_.find(id);
  if (known == times_.end()) return std::nullopt;
  return known->second;
}

}  // namespace sailgate::balancing
