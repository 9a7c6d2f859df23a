/// @file Elapsed time for measurements.
#pragma once

#include <chrono>

namespace sailgate::bench {

/// @return milliseconds since `start`.
inline double millis_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

}  // namespace sailgate::bench
