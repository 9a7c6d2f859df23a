/// @file What a service's engines have to do against what they can take.
///
/// Answers the loss of engines or of a zone under the usual load: what can be taken falls as soon
/// as the loss is seen, while the requests that were under way there come back to the other
/// engines.
#pragma once

#include <vector>

#include "balancing/engine_registry.hpp"

namespace sailgate::admission {

struct ServiceLoad {
  double load = 0;     ///< requests under way or waiting, by slot of the engines that work
  int slots = 0;       ///< of engines that work
  int lost_slots = 0;  ///< of engines that are listed and fail
  net::Millis age{0};  ///< of what was taken over from other nodes
};

/// Requests at engines that fail count: they come back to those that work. Engines that drain
/// count neither way: they end what they have. Where no engine works by this node's sight, the
/// sight may be at fault, and all count.
/// @param age of the loads that other nodes told.
ServiceLoad measure_load(const std::vector<balancing::EnginePointer>& engines, net::TimePoint now,
                         net::Millis age);

}  // namespace sailgate::admission
