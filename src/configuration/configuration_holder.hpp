/// @file The configuration a node serves under, and its lease on it.
#pragma once

#include <memory>
#include <optional>

#include "base/knobs.hpp"
#include "configuration/lease_table.hpp"
#include "sailgate_types.h"

namespace sailgate::configuration {

/// Node side of the configuration lease. A started process holds no lease and serves nothing until
/// it got one, so that it cannot serve under an older generation than its predecessor. Not
/// thread-safe.
class ConfigurationHolder {
 public:
  ConfigurationHolder(const base::Knobs& knobs, std::shared_ptr<const LeaseRules> rules,
                      std::int64_t member)
      : knobs_(knobs), rules_(std::move(rules)), member_(member) {}

  /// @return a request for the authority when one is due.
  std::optional<wire::RenewConfigurationLease> poll(base::Millis now);
  /// Takes the authority's answer. @param asked_at when the request was made, on the same clock.
  void on_lease(const wire::ConfigurationLease& lease, base::Millis asked_at);

  /// Whether this node may serve now.
  bool live(base::Millis now) const { return rules_->lease_live(now, lease_until_); }
  const wire::Configuration& configuration() const { return configuration_; }
  std::int64_t generation() const { return configuration_.generation; }

 private:
  const base::Knobs& knobs_;
  std::shared_ptr<const LeaseRules> rules_;
  std::int64_t member_;
  wire::Configuration configuration_;
  base::Millis lease_until_ = 0;
  base::Millis next_poll_at_ = 0;
};

}  // namespace sailgate::configuration
