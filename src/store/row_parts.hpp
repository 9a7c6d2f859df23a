/// @file In which parts of the store a row is kept.
#pragma once

#include <string>
#include <vector>

namespace sailgate::store {

/// The one part of a row that changes.
std::string part_of(const std::string& key);

/// Parts that a row that never changes may be in: any one of them, the first one by preference.
std::vector<std::string> candidate_parts(const std::string& key);

}  // namespace sailgate::store
