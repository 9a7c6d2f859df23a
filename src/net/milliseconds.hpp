/// @file Times as numbers.
#pragma once

#include "net/asio.hpp"

namespace sailgate::net {

/// Negative when `later` lies before `earlier`.
inline double milliseconds_between(TimePoint earlier, TimePoint later) {
  return std::chrono::duration<double, std::milli>(later - earlier).count();
}

}  // namespace sailgate::net
