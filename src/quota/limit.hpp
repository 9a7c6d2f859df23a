/// @file Rate limit of a tenant over all nodes together.
#pragma once

#include "net/asio.hpp"

namespace sailgate::quota {

/// Limit from the configuration.
struct Limit {
  double rate_per_s = 0;  ///< 0: unlimited
  double burst = 0;       ///< requests above the rate, once per window

  bool limited() const { return rate_per_s > 0; }
};

/// Enforcement parameters, identical on all nodes; taken from the platform's settings.
struct Bounds {
  net::Millis window{5000};     ///< sliding window: the limit holds for every span of this length
  double excess_share = 0.1;    ///< permitted overshoot as a share of the limit
  double excess_requests = 20;  ///< permitted overshoot on top of that share

  bool operator==(const Bounds& other) const = default;
};

}  // namespace sailgate::quota
