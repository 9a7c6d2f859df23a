#include "store/part_health.hpp"

#include <algorithm>

namespace sailgate::store {

namespace {

/// A failed part is tried first again after this time.
constexpr net::Millis kMemory{1000};

}  // namespace

void PartitionHealth::note(const std::string& part, bool answered, net::TimePoint now) {
  if (answered) {
    failed_at_.erase(part);
  } else {
    failed_at_[part] = now;
  }
}

bool PartitionHealth::failed_lately(const std::string& part, net::TimePoint now) const {
  const auto failure = failed_at_.find(part);
  return failure != failed_at_.end() && now < failure->second + kMemory;
}

std::vector<std::string> PartitionHealth::order(std::vector<std::string> parts,
                                                net::TimePoint now) const {
  std::stable_partition(parts.begin(), parts.end(),
                        [&](const std::string& part) { return !failed_lately(part, now); });
  return parts;
}

}  // namespace sailgate::store
