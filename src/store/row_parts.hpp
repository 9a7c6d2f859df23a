/// @file In which parts of the store a row is kept.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sailgate::store {

/// Parts that rows are spread over, and the name of each, counted from 0.
std::uint64_t part_count();
std::string part_name(std::uint64_t index);

/// The one part of a row that changes.
std::string part_of(const std::string& key);

/// Parts that a row that never changes may be in: any one of them, the first one by preference.
std::vector<std::string> candidate_parts(const std::string& key);

}  // namespace sailgate::store
