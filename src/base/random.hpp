/// @file Seeded pseudo-random source handed to the cores, so that runs repeat.
#pragma once

#include <cstdint>
#include <random>

namespace sailgate::base {

/// Deterministic generator. Not thread-safe; each core owns one.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// @return a value in [0, bound); 0 when bound is 0.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }

  /// @return a value in [0, 1).
  double fraction() { return static_cast<double>(engine_() >> 32U) / 4294967296.0; }

  /// @return true in `percent` of 100 cases.
  bool chance(std::uint64_t percent) { return below(100) < percent; }

  /// @return a positive 62-bit value, for identifiers.
  std::int64_t identifier() { return static_cast<std::int64_t>((engine_() >> 2U) | 1U); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace sailgate::base
