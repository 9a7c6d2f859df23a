#include "store/row_parts.hpp"

#include <cstdint>

#include "base/digest.hpp"

namespace sailgate::store {

namespace {

/// Rows are spread over this many parts: a part is written in turn.
constexpr std::uint64_t kParts = 256;
/// With a third of the parts out of service, all candidates of a row are so once in 80.
constexpr std::uint64_t kCandidates = 4;

std::uint64_t first_part(const std::string& key) {
  return static_cast<std::uint64_t>(base::fast_digest(key)) % kParts;
}

}  // namespace

std::uint64_t partition_count() { return kParts; }

std::string partition_name(std::uint64_t index) { return std::to_string(index); }

std::string partition_of(const std::string& key) { return partition_name(first_part(key)); }

std::vector<std::string> candidate_partitions(const std::string& key) {
  std::vector<std::string> parts;
  for (std::uint64_t i = 0; i < kCandidates; ++i) {
    parts.push_back(partition_name((first_part(key) + i * (kParts / kCandidates)) % kParts));
  }
  return parts;
}

}  // namespace sailgate::store
