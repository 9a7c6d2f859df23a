/// @file What nodes tell each other of the requests that they let through, by tenant.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster_types.h"

namespace sailgate::cluster {

/// By tenant_key().
using TenantUsages = std::map<std::int32_t, wire::TenantUsage>;

/// Short key of a tenant, for beacons: two tenants share one about once in four thousand millions,
/// and then only seem to send more than they do.
std::int32_t tenant_key(const std::string& tenant);

/// Adds `share` of each usage to `sum`, rounded up, so that no sum is too low.
void add_usages(const TenantUsages& usages, double share, TenantUsages& sum);

/// What the nodes other than this one let through of one tenant's requests.
struct OthersUsage {
  double heard = 0;   ///< within the window, by nodes that are heard of
  double silent = 0;  ///< by nodes that fell silent, less what has left the window since
  double unseen = 0;  ///< most that they let through since, if all that is asked for passes
};

/// Nodes as this one sees them, itself among them.
struct Membership {
  bool complete = false;  ///< whether all nodes are known
  std::size_t known = 1;
  std::size_t heard = 1;  ///< nodes whose own word came lately
  double young = 0;  ///< mean over the known nodes of the part of the window before their start
};

}  // namespace sailgate::cluster
