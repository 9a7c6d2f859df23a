/// @file Conversion of time intervals to numbers.
#pragma once

#include "net/asio.hpp"

namespace sailgate::net {

/// Negative if `later` precedes `earlier`.
inline double milliseconds_between(TimePoint earlier, TimePoint later) {
  return std::chrono::duration<double, std::milli>(later - earlier).count();
}

}  // namespace sailgate::net
