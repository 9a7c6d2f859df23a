#include "simulation/simulated_operator.hpp"

#include <utility>

#include "simulation/simulated_cluster.hpp"

namespace sailgate::simulation {
namespace {

constexpr std::size_t kSeedBytes = 32;
constexpr int kAttempts = 4;
constexpr base::Millis kPatience = 9000;

}  // namespace

configuration::KeyPair partner_key_pair(const std::string& partner) {
  auto seed = partner;
  seed.resize(kSeedBytes, '.');
  return configuration::key_pair_from_seed(seed);
}

configuration::PartnerKeys partner_public_keys() {
  configuration::PartnerKeys keys;
  for (const auto* partner : kPartners) keys[partner] = partner_key_pair(partner).public_key;
  return keys;
}

SimulatedOperator::SimulatedOperator(SimulatedCluster& cluster, std::string partner)
    : cluster_(cluster), partner_(std::move(partner)) {}

void SimulatedOperator::roll() {
  wire::SignedBundle signed_bundle;
  auto& bundle = signed_bundle.bundle;
  bundle.partner = partner_;
  bundle.version = ++version_;
  bundle.builds_on = cluster_.some_generation();
  for (const auto* partner : kPartners) {
    signed_bundle.signatures.push_back(
        configuration::sign(bundle, partner, partner_key_pair(partner).secret_key));
  }
  send(signed_bundle, kAttempts);
}

void SimulatedOperator::send(const wire::SignedBundle& signed_bundle, int attempts_left) {
  if (attempts_left == 0) return;
  cluster_.roll(
      signed_bundle, kPatience,
      [this, signed_bundle, attempts_left](const wire::ProgramReply& reply) {
        const auto& bundle = signed_bundle.bundle;
        if (reply.__isset.accepted) {
          cluster_.oracle().configuration_accepted(
              bundle.partner + "/" + std::to_string(bundle.version), bundle.builds_on + 1);
          return;
        }
        const bool lost =
            !reply.__isset.refusal || reply.refusal.kind == wire::ErrorKind::kStoreUnavailable;
        if (lost) send(signed_bundle, attempts_left - 1);
      });
}

}  // namespace sailgate::simulation
