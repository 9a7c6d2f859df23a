#include "store/part_health.hpp"

#include <algorithm>

namespace sailgate::store {

namespace {

/// Time after which a failed partition regains its place in the order.
constexpr net::Millis kFailureMemory{1000};

}  // namespace

void PartitionHealth::note(const std::string& partition, bool answered, net::TimePoint now) {
  if (answered) {
    failed_at_.erase(partition);
  } else {
    failed_at_[partition] = now;
  }
}

bool PartitionHealth::recently_failed(const std::string& partition, net::TimePoint now) const {
  const auto failure = failed_at_.find(partition);
  return failure != failed_at_.end() && now < failure->second + kFailureMemory;
}

std::vector<std::string> PartitionHealth::order(std::vector<std::string> partitions,
                                                net::TimePoint now) const {
  std::stable_partition(partitions.begin(), partitions.end(), [&](const std::string& partition) {
    return !recently_failed(partition, now);
  });
  return partitions;
}

}  // namespace sailgate::store
