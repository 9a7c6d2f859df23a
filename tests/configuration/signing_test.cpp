#include "configuration/signing.hpp"

#include <catch2/catch.hpp>

#include "configuration/bundle_check.hpp"

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
  REQUIRE(verify_signatures(bundle, kKeys).empty());
  bundle.signatures.pop_back();
  REQUIRE_FALSE(verify_signatures(bundle, kKeys).empty());
}

TEST_CASE("a signature of the wrong partner or over another bundle is refused", "[configuration]") {
  auto bundle = signed_by_both(bundle_of("federation"));
  bundle.signatures[1] = sign(bundle.bundle, "pharmacy", kFederation.secret_key);
  REQUIRE_FALSE(verify_signatures(bundle, kKeys).empty());
  bundle = signed_by_both(bundle_of("federation"));
  bundle.bundle.version = 2;
  REQUIRE_FALSE(verify_signatures(bundle, kKeys).empty());
  // The same signatures replayed for another generation.
  bundle = signed_by_both(bundle_of("federation"));
  bundle.bundle.builds_on = 7;
  REQUIRE_FALSE(verify_signatures(bundle, kKeys).empty());
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

TEST_CASE("reservations of all partners together must not exceed 100 percent", "[configuration]") {
  auto theirs = bundle_of("pharmacy");
  theirs.reservations = {reservation(60)};
  const auto active = apply_bundle({}, theirs);
  auto ours = bundle_of("federation");
  ours.reservations = {reservation(40)};
  REQUIRE(validate_in_configuration(ours, active).empty());
  ours.reservations = {reservation(41)};
  REQUIRE_FALSE(validate_in_configuration(ours, active).empty());
}

TEST_CASE("an older version of a partner's bundle is refused", "[configuration]") {
  const auto active = apply_bundle({}, bundle_of("federation"));
  REQUIRE_FALSE(validate_in_configuration(bundle_of("federation"), active).empty());
}
