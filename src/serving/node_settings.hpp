/// @file What a serving node needs to know before it starts.
#pragma once

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
  net::Endpoint callers;    ///< where callers connect
  net::Endpoint readiness;  ///< where readiness is asked for
  net::Endpoint peers;      ///< where other nodes connect
  std::optional<net::Endpoint> metrics;
  net::Endpoint store;
  net::Millis stop_grace{8000};  ///< a stop is forced after this time
  quota::Bounds quota_bounds;
  base::Mechanisms mechanisms;
};

}  // namespace sailgate::serving
