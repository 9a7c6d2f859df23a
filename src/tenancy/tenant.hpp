/// @file A tenant: whose requests they are, and how many it may send.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "quota/limit.hpp"

namespace sailgate::tenancy {

struct Tenant {
  std::string name;
  std::vector<std::string>
      key_digests;              ///< of the keys its callers present; see base::token_digest
  std::optional<int> priority;  ///< goes before the route's; 0 is the most urgent
  quota::Limit limit;
};

}  // namespace sailgate::tenancy
