/// @file What nodes tell each other of the requests that they let through, by tenant.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster_types.h"
#include "net/asio.hpp"
#include "quota/window_parts.hpp"

namespace sailgate::cluster {

/// By tenant_key().
using TenantUsages = std::map<std::int32_t, wire::TenantUsage>;

/// Short key of a tenant, for beacons: two tenants share one about once in four thousand millions,
/// and then only seem to send more than they do.
std::int32_t tenant_key(const std::string& tenant);

/// Time for which nodes tell what will leave the window: about the age that news reaches.
inline constexpr net::Millis kExpiringSoon{500};

/// Writes requests by age into `usage`.
void write_age_buckets(const quota::BucketCounts& parts, wire::TenantUsage& usage);
/// As write_age_buckets() wrote it; all zero when it was not told.
quota::BucketCounts read_age_buckets(const wire::TenantUsage& usage);

/// What of a node's requests may still lie within the window, so long after it told of them. Where
/// it told no ages, all may have come just before.
wire::TenantUsage age_usage(const wire::TenantUsage& usage, net::Millis age, net::Millis window);

/// When and how what is added to a sum was told.
struct UsageReportInfo {
  net::Millis age{0};
  net::Millis window{0};    ///< over which limits count
  bool still_asked = true;  ///< the nodes are asked for more
};

/// Adds what nodes let through to `sum`, as far as it still lies within the window.
void merge_usages(const TenantUsages& usages, const UsageReportInfo& news, TenantUsages& sum);

}  // namespace sailgate::cluster
