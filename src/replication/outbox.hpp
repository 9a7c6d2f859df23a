/// @file Messages a core wants sent, collected by the caller.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "sailgate_types.h"

namespace sailgate::replication {

/// Group messages by receiving member, so that one step sends one envelope per peer.
using Outbox = std::map<std::int64_t, std::vector<wire::GroupMessage>>;

}  // namespace sailgate::replication
