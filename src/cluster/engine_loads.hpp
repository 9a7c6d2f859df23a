/// @file In-flight requests of nodes by engine.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace sailgate::cluster {

/// 32-bit hash of an engine id, used in beacons. Two engines collide with a probability of about
/// one in four billion; a collision only makes both look busier than they are.
std::int32_t engine_key(const std::string& engine_id);

/// Sums counts by engine over several nodes.
class EngineLoads {
 public:
  void add(const std::map<std::int32_t, std::int32_t>& loads);
  /// Total of an engine; 0 if none was added.
  int at(const std::string& engine_id) const;

 private:
  std::unordered_map<std::int32_t, int> in_flight_;
};

}  // namespace sailgate::cluster
