#include "cluster/engine_loads.hpp"

namespace sailgate::cluster {

void EngineLoads::add(const std::map<std::int32_t, std::int32_t>& loads) {
  for (const auto& [engine, in_flight] : loads) in_flight_[engine] += in_flight;
}

int EngineLoads::at(const std::string& engine_id) const {
  const auto load = in_flight_.find(engine_key(engine_id));
  return load == in_flight_.end() ? 0 : load->second;
}

}  // namespace sailgate::cluster
