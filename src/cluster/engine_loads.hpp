/// @file Requests that nodes have in flight at engines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace sailgate::cluster {

/// Short key of an engine, for beacons: two engines share one about once in four thousand millions,
/// and then only seem busier than they are.
std::int32_t engine_key(const std::string& engine_id);

/// Sum over several nodes.
class EngineLoads {
 public:
  void add(const std::map<std::int32_t, std::int32_t>& loads);
  int at(const std::string& engine_id) const;

 private:
  std::unordered_map<std::int32_t, int> in_flight_;
};

}  // namespace sailgate::cluster
