#include "configuration/configuration_holder.hpp"

#include <algorithm>

namespace sailgate::configuration {

void ConfigurationHolder::on_read(wire::Configuration configuration, base::Millis asked_at) {
  // NOTE: answers may come out of order; one that is older than what is held extends nothing.
  if (configuration.generation < configuration_.generation) return;
  configuration_ = std::move(configuration);
  lease_until_ = std::max(lease_until_, asked_at + knobs_.configuration_lease);
}

base::Millis activation_delay(const base::Knobs& knobs) {
  constexpr base::Millis kPercent = 100;
  const auto margin = knobs.configuration_lease * knobs.clock_drift_percent / kPercent;
  return knobs.configuration_lease + margin;
}

}  // namespace sailgate::configuration
