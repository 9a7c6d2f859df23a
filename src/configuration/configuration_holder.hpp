/// @file The configuration a node serves under, and its lease on it.
#pragma once

#include <memory>

#include "base/knobs.hpp"
#include "configuration/lease_rules.hpp"
#include "sailgate_types.h"

namespace sailgate::configuration {

/// A started process holds no lease and serves nothing until it has read the configuration, so that
/// it cannot serve under an older generation than its predecessor. Not thread-safe.
class ConfigurationHolder {
 public:
  ConfigurationHolder(const base::Knobs& knobs, std::shared_ptr<const LeaseRules> rules)
      : knobs_(knobs), rules_(std::move(rules)) {}

  /// Takes what was read. @param asked_at when the reading began, on this process's clock.
  void on_read(wire::Configuration configuration, base::Millis asked_at);

  /// Whether this node may serve now.
  bool has_valid_lease(base::Millis now) const { return rules_->lease_valid(now, lease_until_); }
  const wire::Configuration& configuration() const { return configuration_; }
  std::int64_t generation() const { return configuration_.generation; }

 private:
  const base::Knobs& knobs_;
  std::shared_ptr<const LeaseRules> rules_;
  wire::Configuration configuration_;
  base::Millis lease_until_ = 0;
};

/// Time after a configuration was stored at which no node serves under an older one any more.
base::Millis activation_delay(const base::Knobs& knobs);

}  // namespace sailgate::configuration
