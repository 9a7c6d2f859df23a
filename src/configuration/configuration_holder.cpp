#include "configuration/configuration_holder.hpp"

#include <algorithm>

namespace sailgate::configuration {

std::optional<wire::RenewConfigurationLease> ConfigurationHolder::poll(base::Millis now) {
  if (now < next_poll_at_) return std::nullopt;
  next_poll_at_ = now + knobs_.configuration_poll;
  wire::RenewConfigurationLease request;
  request.member = member_;
  request.generation = configuration_.generation;
  return request;
}

void ConfigurationHolder::on_lease(const wire::ConfigurationLease& lease, base::Millis asked_at) {
  // NOTE: answers may come out of order; one that is older than what is held extends nothing.
  const auto held = configuration_.generation;
  const bool offered = lease.__isset.configuration && lease.generation > held;
  if (offered) {
    configuration_ = lease.configuration;
    // The authority waits for this node to state the new generation.
    next_poll_at_ = 0;
  }
  if (!offered && lease.generation != held) return;
  lease_until_ = std::max(lease_until_, asked_at + lease.duration_ms);
}

}  // namespace sailgate::configuration
