/// @file A tenant: its API keys, priority and request limit.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "quota/limit.hpp"

namespace sailgate::tenancy {

struct Tenant {
  std::string name;
  std::vector<std::string>
      key_digests;              ///< digests of its callers' API keys; see base::token_digest
  std::optional<int> priority;  ///< overrides the route's priority; 0 is the most urgent
  quota::Limit limit;
};

}  // namespace sailgate::tenancy
