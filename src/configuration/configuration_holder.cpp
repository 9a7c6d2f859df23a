#include "configuration/configuration_holder.hpp"

#include <algorithm>

namespace sailgate::configuration {

void ConfigurationHolder::on_read(wire::Configuration configuration, base::Millis requested_at) {
  // Responses can arrive out of order; an older generation must not extend the lease.
  if (configuration.generation < configuration_.generation) return;
  configuration_ = std::move(configuration);
  lease_until_ = std::max(lease_until_, requested_at + knobs_.configuration_lease);
}

base::Millis activation_delay(const base::Knobs& knobs) {
  constexpr base::Millis kPercent = 100;
  const auto margin = knobs.configuration_lease * knobs.clock_drift_percent / kPercent;
  return knobs.configuration_lease + margin;
}

}  // namespace sailgate::configuration
