#include "tenancy/tenant_directory.hpp"

#include <catch2/catch.hpp>

#include "base/digest.hpp"

using namespace sailgate;
using tenancy::Credential;
using tenancy::Tenant;
using tenancy::TenantDirectory;

namespace {

TenantDirectory directory() {
  Tenant choir;
  choir.name = "choir";
  choir.key_digests = {base::token_digest("k1"), base::token_digest("k2")};
  Tenant band;
  band.name = "band";
  band.key_digests = {base::token_digest("k3")};
  return TenantDirectory({choir, band});
}

}  // namespace

TEST_CASE("each key of a tenant identifies it", "[tenancy]") {
  const auto tenants = directory();
  REQUIRE(tenants.find({1, "k1"})->name == "choir");
  REQUIRE(tenants.find({1, "k2"})->name == "choir");
  REQUIRE(tenants.find({1, "k3"})->name == "band");
}

TEST_CASE("missing, empty, unknown and multiple keys identify no tenant", "[tenancy]") {
  const auto tenants = directory();
  REQUIRE(tenants.find({0, ""}) == nullptr);
  REQUIRE(tenants.find({1, ""}) == nullptr);
  REQUIRE(tenants.find({1, "k4"}) == nullptr);
  REQUIRE(tenants.find({1, "k1 k2"}) == nullptr);
  REQUIRE(tenants.find({2, "k1"}) == nullptr);
}

TEST_CASE("without tenants no credentials are required", "[tenancy]") {
  REQUIRE_FALSE(TenantDirectory().credentials_required());
  REQUIRE(directory().credentials_required());
}
