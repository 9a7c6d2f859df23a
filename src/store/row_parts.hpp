/// @file In which parts of the store a row is kept.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sailgate::store {

/// Parts that rows are spread over, and the name of each, counted from 0.
std::uint64_t partition_count();
std::string partition_name(std::uint64_t index);

/// The one part of a row that changes.
std::string partition_of(const std::string& key);

/// Parts that a row that never changes may be in: any one of them, the first one by preference.
std::vector<std::string> candidate_partitions(const std::string& key);

}  // namespace sailgate::store
