#include "base/error_table.hpp"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace sailgate;

TEST_CASE("every error kind of the protocol has its own answer", "[base]") {
  std::set<std::string> names;
  for (const auto& [value, name] : wire::_ErrorKind_VALUES_TO_NAMES) {
    const auto kind = static_cast<wire::ErrorKind::type>(value);
    const auto& answer = base::error_answer(kind);
    CAPTURE(name);
    REQUIRE(answer.kind == kind);
    REQUIRE(names.insert(answer.name).second);
    REQUIRE(std::string(answer.text).back() == '.');
    REQUIRE(answer.http_status >= 200);
    REQUIRE((answer.retry_rule == base::RetryRule::kNever) == (answer.retry_after == 0));
  }
  REQUIRE(names.size() == wire::_ErrorKind_VALUES_TO_NAMES.size());
}

TEST_CASE("an unlisted kind answers as an internal error", "[base]") {
  REQUIRE(base::error_answer(static_cast<wire::ErrorKind::type>(63)).kind ==
          wire::ErrorKind::kInternal);
}
