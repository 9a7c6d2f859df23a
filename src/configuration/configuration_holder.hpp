/// @file A node's copy of the configuration and the lease that permits it to serve under it.
#pragma once

#include <memory>

#include "base/knobs.hpp"
#include "configuration/lease_rules.hpp"
#include "sailgate_types.h"

namespace sailgate::configuration {

/// Holds the most recent configuration that was read. A new process has no lease and must not serve
/// until it has read the configuration, so that it cannot serve under an older generation than the
/// process it replaces. Not thread-safe.
class ConfigurationHolder {
 public:
  ConfigurationHolder(const base::Knobs& knobs, std::shared_ptr<const LeaseRules> rules)
      : knobs_(knobs), rules_(std::move(rules)) {}

  /// Applies a configuration read from the store and extends the lease.
  /// @param requested_at start of the read on this process's clock; the lease counts from here.
  void on_read(wire::Configuration configuration, base::Millis requested_at);

  /// Whether this node may serve requests now.
  bool has_valid_lease(base::Millis now) const { return rules_->lease_valid(now, lease_until_); }
  const wire::Configuration& configuration() const { return configuration_; }
  std::int64_t generation() const { return configuration_.generation; }

 private:
  const base::Knobs& knobs_;
  std::shared_ptr<const LeaseRules> rules_;
  wire::Configuration configuration_;
  base::Millis lease_until_ = 0;
};

/// Time after the write of a configuration until no node can still serve under an older one: the
/// lease plus a margin for clock drift.
base::Millis activation_delay(const base::Knobs& knobs);

}  // namespace sailgate::configuration
