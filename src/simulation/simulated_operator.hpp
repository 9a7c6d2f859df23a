/// @file An operator of one partner who rolls bundles and does not give up on a lost answer.
#pragma once

#include <cstdint>
#include <string>

#include "configuration/signing.hpp"
#include "sailgate_types.h"

namespace sailgate::simulation {

class SimulatedCluster;

/// Names of the partners whose keys the simulated nodes know.
inline constexpr const char* kPartners[] = {"federation", "pharmacy"};

/// Deterministic key pair of a partner.
configuration::KeyPair partner_key_pair(const std::string& partner);
configuration::PartnerKeys partner_public_keys();

/// Not thread-safe.
class SimulatedOperator {
 public:
  SimulatedOperator(SimulatedCluster& cluster, std::string partner);

  /// Prepares a bundle against the generation some node holds, has both partners sign it, rolls it.
  void roll();

 private:
  void send(const wire::SignedBundle& signed_bundle, int attempts_left);

  SimulatedCluster& cluster_;
  std::string partner_;
  std::int64_t version_ = 0;
};

}  // namespace sailgate::simulation
