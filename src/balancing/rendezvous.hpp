/// @file Rendezvous hashing: all nodes rank engines for a key identically without coordination.
#pragma once

#include <xxhash.h>

#include <string>

namespace sailgate::balancing {

/// Hash of a key and an engine, uniformly distributed in [0, 1).
inline double rendezvous_draw(const std::string& key, const std::string& engine_id) {
  const auto seed = XXH64(engine_id.data(), engine_id.size(), 0);
  const auto hash = XXH64(key.data(), key.size(), seed);
  // Keeps the 53 bits that a double can represent; with all 64 the largest hashes would round to 1.
  constexpr unsigned kSurplusBits = 11;
  return static_cast<double>(hash >> kSurplusBits) * 0x1p-53;
}

}  // namespace sailgate::balancing
