#include "tenancy/state_key.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using sailgate::tenancy::StateKey;

TEST_CASE("without a tenant the key is the id", "[tenancy]") {
  REQUIRE(StateKey("", "3fa81c").text() == "3fa81c");
  REQUIRE(StateKey("", "").empty());
  REQUIRE(StateKey("choir", "").empty());
}

TEST_CASE("the same id of two tenants has two keys", "[tenancy]") {
  REQUIRE_FALSE(StateKey("choir", "p") == StateKey("band", "p"));
  REQUIRE_FALSE(StateKey("choir", "p") == StateKey("", "p"));
  REQUIRE_FALSE(StateKey("", "choir/p") == StateKey("choir", "p"));
  REQUIRE_FALSE(StateKey("a/b", "c") == StateKey("a", "b/c"));
  REQUIRE_FALSE(StateKey("a%2Fb", "c") == StateKey("a/b", "c"));
}

TEST_CASE("different pairs of tenant and id have different keys", "[tenancy]") {
  REQUIRE(rc::check([] {
    // A small alphabet, so that separators and escapes are frequent.
    const auto word = rc::gen::container<std::string>(rc::gen::element('/', '%', '2', 'F', 'a'));
    const auto tenant = *word;
    const auto id = *rc::gen::nonEmpty(word);
    const auto other_tenant = *word;
    const auto other_id = *rc::gen::nonEmpty(word);
    const bool same = tenant == other_tenant && id == other_id;
    RC_ASSERT((StateKey(tenant, id) == StateKey(other_tenant, other_id)) == same);
  }));
}
