#include "store/row_parts.hpp"

#include <cstdint>

#include "base/digest.hpp"

namespace sailgate::store {

namespace {

/// Writes within a partition are serialized, so rows are distributed over this many.
constexpr std::uint64_t kPartitionCount = 256;
/// With a third of the partitions unavailable, one row in 80 has no available candidate.
constexpr std::uint64_t kCandidateCount = 4;

std::uint64_t preferred_partition(const std::string& key) {
  return static_cast<std::uint64_t>(base::fast_digest(key)) % kPartitionCount;
}

}  // namespace

std::uint64_t partition_count() { return kPartitionCount; }

std::string partition_name(std::uint64_t index) { return std::to_string(index); }

std::string partition_of(const std::string& key) {
  return partition_name(preferred_partition(key));
}

std::vector<std::string> candidate_partitions(const std::string& key) {
  std::vector<std::string> partitions;
  for (std::uint64_t i = 0; i < kCandidateCount; ++i) {
    partitions.push_back(partition_name(
        (preferred_partition(key) + i * (kPartitionCount / kCandidateCount)) % kPartitionCount));
  }
  return partitions;
}

}  // namespace sailgate::store
