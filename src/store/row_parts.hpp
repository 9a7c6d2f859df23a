/// @file Maps rows to partitions of the store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sailgate::store {

/// Number of partitions, and the name of the partition with a zero-based index.
std::uint64_t partition_count();
std::string partition_name(std::uint64_t index);

/// Partition of a mutable row.
std::string partition_of(const std::string& key);

/// Partitions in which an immutable row may be stored, the preferred one first.
std::vector<std::string> candidate_partitions(const std::string& key);

}  // namespace sailgate::store
