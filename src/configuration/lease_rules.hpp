/// @file Under which configuration a node may serve.
///
///  1. A node serves only for a bounded time (the lease) after it began to read the configuration.
///  2. A new configuration is answered as in force once every lease that may have begun before its
///     write has run out, with a margin for clocks that drift apart.
#pragma once

#include "base/time.hpp"

namespace sailgate::configuration {

/// Rules a proof may replace.
class LeaseRules {
 public:
  LeaseRules() = default;
  LeaseRules(const LeaseRules&) = delete;
  LeaseRules& operator=(const LeaseRules&) = delete;
  virtual ~LeaseRules() = default;

  /// An accepted bundle may be answered only once no older lease can be live.
  virtual bool wait_for_leases() const { return true; }
  /// A node serves only while its lease is live.
  virtual bool lease_valid(base::Millis now, base::Millis until) const { return now < until; }
};

}  // namespace sailgate::configuration
