/// @file Load of a service relative to the capacity of its engines.
///
/// Handles the loss of engines or of a zone under normal load: the capacity falls as soon as the
/// failure is detected, while the requests that ran there are retried on the other engines.
#pragma once

#include <vector>

#include "balancing/engine_registry.hpp"

namespace sailgate::admission {

struct ServiceLoad {
  double load = 0;     ///< running and waiting requests per slot of working engines
  int slots = 0;       ///< of working engines
  int lost_slots = 0;  ///< of registered engines that fail
  net::Millis age{0};  ///< age of the loads reported by other nodes
};

/// Requests on failing engines count towards the load, since they will be retried on working ones.
/// Draining engines count neither as load nor as capacity: they finish what they have. If every
/// engine seems to fail, the fault may be this node's own connectivity, and all engines count as
/// working.
/// @param age of the loads reported by other nodes.
ServiceLoad measure_load(const std::vector<balancing::EnginePointer>& engines, net::TimePoint now,
                         net::Millis age);

}  // namespace sailgate::admission
