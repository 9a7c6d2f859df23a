#include "cluster/engine_loads.hpp"

#include "base/digest.hpp"

namespace sailgate::cluster {

std::int32_t engine_key(const std::string& engine_id) {
  return static_cast<std::int32_t>(base::fast_digest(engine_id));
}

void EngineLoads::add(const std::map<std::int32_t, std::int32_t>& loads) {
  for (const auto& [engine, in_flight] : loads) in_flight_[engine] += in_flight;
}

int EngineLoads::at(const std::string& engine_id) const {
  const auto load = in_flight_.find(engine_key(engine_id));
  return load == in_flight_.end() ? 0 : load->second;
}

}  // namespace sailgate::cluster
