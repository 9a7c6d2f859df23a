/// @file In-flight requests of nodes by engine.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "balancing/engine.hpp"

namespace sailgate::cluster {

using balancing::engine_key;

/// Sums counts by engine over several nodes.
class EngineLoads {
 public:
  void add(const std::map<std::int32_t, std::int32_t>& loads);
  /// Total of an engine; 0 if none was added.
  int at(const std::string& engine_id) const;
  /// By engine_key().
  const std::unordered_map<std::int32_t, int>& by_key() const { return in_flight_; }

 private:
  std::unordered_map<std::int32_t, int> in_flight_;
};

}  // namespace sailgate::cluster
