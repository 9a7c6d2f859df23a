#include "cluster/first_runs.hpp"

namespace sailgate::cluster {

void FirstRuns::erase(const std::string& fingerprint, const std::string& engine,
                      const std::string& attempt) {
  const auto [begin, end] = runs_.equal_range(fingerprint);
  for (auto known = begin; known != end; ++known) {
    if (known->second.engine != engine || known->second.attempt != attempt) continue;
    runs_.erase(known);
    return;
  }
}

void FirstRuns::expire(net::TimePoint now) {
  while (!by_age_.empty() && (by_age_.front().kept_until <= now || runs_.size() > kMaxRuns)) {
    const auto& oldest = by_age_.front();
    erase(oldest.fingerprint, oldest.engine, oldest.attempt);
    by_age_.pop_front();
  }
}

void FirstRuns::note(const std::string& fingerprint, balancing::EngineLoss run,
                     net::TimePoint now) {
  if (run.withdrawn) {
    erase(fingerprint, run.engine, run.attempt);
    return;
  }
  by_age_.push_back({fingerprint, run.engine, run.attempt, now + kRetention});
  runs_.emplace(fingerprint, std::move(run));
  expire(now);
}

std::vector<balancing::EngineLoss> FirstRuns::take(const std::string& fingerprint,
                                                   net::TimePoint now) {
  expire(now);
  std::vector<balancing::EngineLoss> taken;
  const auto [begin, end] = runs_.equal_range(fingerprint);
  for (auto known = begin; known != end; ++known) taken.push_back(std::move(known->second));
  runs_.erase(begin, end);
  return taken;
}

}  // namespace sailgate::cluster
