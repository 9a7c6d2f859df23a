/// @file Time values used by the deterministic cores.
#pragma once

#include <cstdint>

namespace sailgate::base {

/// Milliseconds on the owning process's monotonic clock. Never compared across processes.
using Millis = std::int64_t;

}  // namespace sailgate::base
