#include "admission/service_load.hpp"

#include <utility>

#include "balancing/engine_failures.hpp"

namespace sailgate::admission {

namespace {

/// Whether the engine has recently failed for this node or for many nodes.
bool is_failing(const balancing::Engine& engine, net::TimePoint now) {
  if (engine.awaiting_probe) return true;
  return balancing::failed_lately(engine, now) &&
         engine.consecutive_failures >= balancing::kSharedFailureThreshold;
}

}  // namespace

ServiceLoad measure_load(const std::vector<balancing::EnginePointer>& engines, net::TimePoint now,
                         net::Millis age) {
  ServiceLoad service;
  service.age = age;
  int requests = 0;
  for (const auto& engine : engines) {
    if (!engine->usable()) continue;
    requests += engine->in_flight + engine->peer_in_flight;
    (is_failing(*engine, now) ? service.lost_slots : service.slots) += engine->record.slots;
  }
  if (service.slots == 0) std::swap(service.slots, service.lost_slots);
  if (service.slots > 0) service.load = static_cast<double>(requests) / service.slots;
  return service;
}

}  // namespace sailgate::admission
