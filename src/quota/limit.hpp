/// @file How many requests a tenant may send, over all nodes together.
#pragma once

#include "net/asio.hpp"

namespace sailgate::quota {

/// As the configuration says it.
struct Limit {
  double rate_per_s = 0;  ///< 0: no limit
  double burst = 0;       ///< requests on top of the rate, once in a window

  bool limited() const { return rate_per_s > 0; }
};

/// How a limit is held to, the same on all nodes. The platform's settings give them.
struct Bounds {
  net::Millis window{5000};   ///< any span of this length counts
  double excess_share = 0.1;  ///< of the limit, which may be exceeded by so much
  double excess_requests = 20;

  bool operator==(const Bounds& other) const = default;
};

}  // namespace sailgate::quota
