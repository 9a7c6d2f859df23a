#include "configuration/bundle_roll.hpp"

#include <catch2/catch.hpp>

#include "configuration/configuration_holder.hpp"
#include "simulation/in_memory_rows.hpp"
#include "simulation/simulated_operator.hpp"

using namespace sailgate;
using configuration::BundleRollout;
using Kind = store::OptimisticUpdate::Step::Kind;

namespace {

const store::UpdateRules kRules;

wire::SignedBundle signed_bundle(const std::string& partner, std::int64_t version,
                                 std::int64_t builds_on) {
  wire::SignedBundle result;
  result.bundle.partner = partner;
  result.bundle.version = version;
  result.bundle.builds_on = builds_on;
  for (const auto* signer : simulation::kPartners) {
    result.signatures.push_back(configuration::sign(
        result.bundle, signer, simulation::partner_key_pair(signer).secret_key));
  }
  return result;
}

struct Fixture {
  simulation::InMemoryRows table;
  configuration::PartnerKeys keys = simulation::partner_public_keys();

  void finish(store::OptimisticUpdate& update, store::OptimisticUpdate::Step step) {
    while (step.kind != Kind::kDone) {
      step = step.kind == Kind::kRead ? update.on_read(table.read(step.read), 0)
                                      : update.on_write(table.transact(step.write), 0);
    }
  }
  void roll(BundleRollout& subject) {
    store::OptimisticUpdate update(kRules, subject, configuration::configuration_range(), false,
                                   1000);
    finish(update, update.start());
  }
  wire::Configuration stored() {
    return configuration::configuration_from_rows(
        table.read(configuration::configuration_range()).rows);
  }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "without a configuration row generation 0 is active", "[configuration]") {
  REQUIRE(stored().generation == 0);
}

TEST_CASE_METHOD(Fixture, "a bundle signed by all partners is stored", "[configuration]") {
  BundleRollout subject(signed_bundle("federation", 1, 0), keys);
  roll(subject);
  REQUIRE_FALSE(subject.refusal());
  REQUIRE(stored().generation == 1);
}

TEST_CASE_METHOD(Fixture, "a bundle without a partner's signature is refused", "[configuration]") {
  auto unsigned_bundle = signed_bundle("federation", 1, 0);
  unsigned_bundle.signatures.pop_back();
  BundleRollout subject(unsigned_bundle, keys);
  roll(subject);
  REQUIRE(subject.refusal()->kind == wire::ErrorKind::kBundleRefused);
  REQUIRE(stored().generation == 0);
}

TEST_CASE_METHOD(Fixture, "when two roll-outs race, the loser is told which bundle is active",
                 "[configuration]") {
  BundleRollout first(signed_bundle("federation", 1, 0), keys);
  BundleRollout second(signed_bundle("pharmacy", 7, 0), keys);
  store::OptimisticUpdate delayed(kRules, second, configuration::configuration_range(), false,
                                  1000);
  const auto read = delayed.start();
  const auto write = delayed.on_read(table.read(read.read), 0);
  roll(first);
  finish(delayed, write);
  REQUIRE(second.refusal()->kind == wire::ErrorKind::kBundleConflict);
  REQUIRE(second.refusal()->detail.find("version 1 of partner federation") != std::string::npos);
}

TEST_CASE_METHOD(Fixture, "rolling out an active bundle again does not create a new generation",
                 "[configuration]") {
  BundleRollout first(signed_bundle("federation", 1, 0), keys);
  roll(first);
  BundleRollout again(signed_bundle("federation", 1, 0), keys);
  roll(again);
  REQUIRE_FALSE(again.refusal());
  REQUIRE(again.configuration().generation == 1);
  REQUIRE(stored().generation == 1);
}

TEST_CASE("a node serves only until its configuration lease expires", "[configuration]") {
  const base::Knobs knobs;
  configuration::ConfigurationHolder holder(knobs, std::make_shared<configuration::LeaseRules>());
  REQUIRE_FALSE(holder.has_valid_lease(0));
  wire::Configuration read;
  read.generation = 2;
  holder.on_read(read, 1000);
  REQUIRE(holder.has_valid_lease(1000 + knobs.configuration_lease - 1));
  REQUIRE_FALSE(holder.has_valid_lease(1000 + knobs.configuration_lease));
  // A late response with an older generation must neither replace the configuration nor extend the
  // lease.
  read.generation = 1;
  holder.on_read(read, 3000);
  REQUIRE(holder.generation() == 2);
  REQUIRE_FALSE(holder.has_valid_lease(1000 + knobs.configuration_lease));
  REQUIRE(configuration::activation_delay(knobs) > knobs.configuration_lease);
}
