#include "configuration/signing.hpp"

#include <catch2/catch.hpp>

#include "configuration/bundle_check.hpp"
#include "configuration/configuration_holder.hpp"
#include "configuration/lease_table.hpp"

using namespace sailgate;
using namespace sailgate::configuration;

namespace {

const KeyPair kFederation = key_pair_from_seed(std::string(32, 'f'));
const KeyPair kPharmacy = key_pair_from_seed(std::string(32, 'p'));
const PartnerKeys kKeys{{"federation", kFederation.public_key}, {"pharmacy", kPharmacy.public_key}};

wire::Bundle bundle_of(const std::string& partner) {
  wire::Bundle bundle;
  bundle.partner = partner;
  bundle.version = 1;
  wire::ProgramRule rule;
  rule.kind = "season-plan";
  bundle.programs.push_back(rule);
  return bundle;
}

wire::Reservation reservation(std::int32_t share) {
  wire::Reservation result;
  result.model = "model";
  result.kind = "season-plan";
  result.share_percent = share;
  return result;
}

wire::SignedBundle signed_by_both(const wire::Bundle& bundle) {
  wire::SignedBundle result;
  result.bundle = bundle;
  result.signatures = {sign(bundle, "federation", kFederation.secret_key),
                       sign(bundle, "pharmacy", kPharmacy.secret_key)};
  return result;
}

}  // namespace

TEST_CASE("both partners must sign", "[configuration]") {
  auto bundle = signed_by_both(bundle_of("federation"));
  REQUIRE(problem_with_signatures(bundle, kKeys).empty());
  bundle.signatures.pop_back();
  REQUIRE_FALSE(problem_with_signatures(bundle, kKeys).empty());
}

TEST_CASE("a signature of the wrong partner or over another bundle is refused", "[configuration]") {
  auto bundle = signed_by_both(bundle_of("federation"));
  bundle.signatures[1] = sign(bundle.bundle, "pharmacy", kFederation.secret_key);
  REQUIRE_FALSE(problem_with_signatures(bundle, kKeys).empty());
  bundle = signed_by_both(bundle_of("federation"));
  bundle.bundle.version = 2;
  REQUIRE_FALSE(problem_with_signatures(bundle, kKeys).empty());
  // Replayed on another generation.
  bundle = signed_by_both(bundle_of("federation"));
  bundle.bundle.builds_on = 7;
  REQUIRE_FALSE(problem_with_signatures(bundle, kKeys).empty());
}

TEST_CASE("the digest does not depend on the order of lists", "[configuration]") {
  auto left = bundle_of("federation");
  wire::TenantRule one;
  one.name = "one";
  wire::TenantRule two;
  two.name = "two";
  left.tenants = {one, two};
  auto right = left;
  right.tenants = {two, one};
  REQUIRE(bundle_digest(left) == bundle_digest(right));
  right.version = 2;
  REQUIRE(bundle_digest(left) != bundle_digest(right));
}

TEST_CASE("reservations of both partners must fit together", "[configuration]") {
  auto theirs = bundle_of("pharmacy");
  theirs.reservations = {reservation(60)};
  const auto in_force = with_bundle({}, theirs);
  auto ours = bundle_of("federation");
  ours.reservations = {reservation(40)};
  REQUIRE(problem_together(ours, in_force).empty());
  ours.reservations = {reservation(41)};
  REQUIRE_FALSE(problem_together(ours, in_force).empty());
}

TEST_CASE("an older version of a partner's bundle is refused", "[configuration]") {
  const auto in_force = with_bundle({}, bundle_of("federation"));
  REQUIRE_FALSE(problem_together(bundle_of("federation"), in_force).empty());
}

TEST_CASE("acceptance waits for every lease that may be live", "[configuration]") {
  base::Knobs knobs;
  LeaseTable table(knobs);
  table.begin(0);
  REQUIRE_FALSE(table.in_force_everywhere(1, 10));
  const base::Millis later = 10'000;
  table.renewed(7, 0, later);
  table.renewed(8, 1, later);
  REQUIRE_FALSE(table.in_force_everywhere(1, later + 1));
  table.renewed(7, 1, later + 2);
  REQUIRE(table.in_force_everywhere(1, later + 2));
  table.renewed(9, 0, later + 3);
  REQUIRE(table.in_force_everywhere(1, later + 3 + 2 * knobs.configuration_lease));
}

TEST_CASE("a started node serves only with a lease, and its generation only grows",
          "[configuration]") {
  base::Knobs knobs;
  ConfigurationHolder holder(knobs, std::make_shared<LeaseRules>(), 1);
  REQUIRE_FALSE(holder.live(0));
  wire::ConfigurationLease lease;
  lease.generation = 3;
  lease.duration_ms = knobs.configuration_lease;
  wire::Configuration configuration;
  configuration.generation = 3;
  lease.__set_configuration(configuration);
  holder.on_lease(lease, 100);
  REQUIRE(holder.live(101));
  REQUIRE(holder.generation() == 3);
  wire::ConfigurationLease older = lease;
  older.generation = 2;
  older.configuration.generation = 2;
  holder.on_lease(older, 5000);
  REQUIRE(holder.generation() == 3);
  REQUIRE_FALSE(holder.live(100 + knobs.configuration_lease));
}
