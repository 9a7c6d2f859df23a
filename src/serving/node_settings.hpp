/// @file Settings of a serving node.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/mechanisms.hpp"
#include "net/asio.hpp"
#include "quota/limit.hpp"

namespace sailgate::serving {

struct NodeSettings {
  std::string node;
  std::string zone;
  net::Endpoint callers;                 ///< listen address for callers
  net::Endpoint readiness;               ///< listen address for readiness probes
  net::Endpoint peers;                   ///< listen address for other nodes
  std::optional<net::Endpoint> metrics;  ///< listen address for metrics; nullopt: not served
  net::Endpoint store;                   ///< address of the table store
  net::Millis stop_grace{8000};  ///< the process is killed this long after it was told to stop
  net::Millis engine_heartbeat{1200};  ///< interval at which engines renew their entries
  /// Bound of all responses together that are not passed on yet; one alone may be as large.
  std::size_t max_response_memory = 32U << 20U;
  quota::Bounds quota_bounds;
  base::Mechanisms mechanisms;
};

}  // namespace sailgate::serving
