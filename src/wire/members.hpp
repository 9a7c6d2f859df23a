/// @file Questions about member lists.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "sailgate_types.h"

namespace sailgate::wire {

/// Whether a list names this member.
inline bool contains_member(const std::vector<Member>& members, std::int64_t id) {
  return std::any_of(members.begin(), members.end(),
                     [id](const Member& member) { return member.id == id; });
}

}  // namespace sailgate::wire
