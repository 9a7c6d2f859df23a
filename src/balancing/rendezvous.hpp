/// @file Rendezvous order: any node puts engines in the same order for a key, without asking.
#pragma once

#include <xxhash.h>

#include <string>

namespace sailgate::balancing {

/// Uniform in [0, 1) for a pair of key and engine.
inline double rendezvous_draw(const std::string& key, const std::string& engine_id) {
  const auto seed = XXH64(engine_id.data(), engine_id.size(), 0);
  const auto hash = XXH64(key.data(), key.size(), seed);
  // As many bits as a double holds: with all of them the largest would be rounded to 1.
  constexpr unsigned kSurplusBits = 11;
  return static_cast<double>(hash >> kSurplusBits) * 0x1p-53;
}

}  // namespace sailgate::balancing
