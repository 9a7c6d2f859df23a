/// @file Per-tenant reports of admitted requests that nodes exchange.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster_types.h"
#include "net/asio.hpp"
#include "quota/window_parts.hpp"

namespace sailgate::cluster {

/// Keyed by tenant_key().
using TenantUsages = std::map<std::int32_t, wire::TenantUsage>;

/// 32-bit hash of a tenant's name, to keep beacons small. Two tenants collide with a probability of
/// about 1 in 4 billion; their requests are then counted together, which overstates both.
std::int32_t tenant_key(const std::string& tenant);

/// Reports say how many requests will leave the window within this time; it is about the maximum
/// age of a report.
inline constexpr net::Millis kExpiringSoon{500};

/// Writes the age buckets into `usage`.
void write_age_buckets(const quota::BucketCounts& parts, wire::TenantUsage& usage);
/// Reads the age buckets written by write_age_buckets(); all zero if the report has none.
quota::BucketCounts read_age_buckets(const wire::TenantUsage& usage);

/// The requests of a report that may still be in the window when the report is `age` old. Without
/// age buckets all of them are assumed to have come just before the report.
wire::TenantUsage age_usage(const wire::TenantUsage& usage, net::Millis age, net::Millis window);

/// Properties of reports that are added to a sum.
struct UsageReportInfo {
  net::Millis age{0};
  net::Millis window{0};        ///< sliding window of the rate limits
  bool still_receiving = true;  ///< whether the reporting nodes still receive requests
};

/// Adds the reported requests that are still in the window to `sum`.
void merge_usages(const TenantUsages& usages, const UsageReportInfo& info, TenantUsages& sum);

}  // namespace sailgate::cluster
