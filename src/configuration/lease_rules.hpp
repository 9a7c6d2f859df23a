/// @file Rules that keep nodes from serving under an outdated configuration.
///
///  1. A node serves only for a bounded time (the lease) from the start of its configuration read.
///  2. A new configuration is reported as active only when every lease that may have started before
///     its write has expired, with a margin for clock drift.
#pragma once

#include "base/time.hpp"

namespace sailgate::configuration {

/// The checks are virtual so that a fault-injection test can disable one and show that the
/// violation is detected.
class LeaseRules {
 public:
  LeaseRules() = default;
  LeaseRules(const LeaseRules&) = delete;
  LeaseRules& operator=(const LeaseRules&) = delete;
  virtual ~LeaseRules() = default;

  /// Whether the response to an accepted bundle waits until no older lease can be valid.
  virtual bool wait_for_leases() const { return true; }
  /// Whether a lease that ends at `until` is still valid at `now`.
  virtual bool lease_valid(base::Millis now, base::Millis until) const { return now < until; }
};

}  // namespace sailgate::configuration
