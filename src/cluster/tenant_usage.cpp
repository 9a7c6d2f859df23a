#include "cluster/tenant_usage.hpp"

#include <algorithm>
#include <functional>
#include <vector>

#include "base/digest.hpp"

namespace sailgate::cluster {

std::int32_t tenant_key(const std::string& tenant) {
  return static_cast<std::int32_t>(base::fast_digest(tenant));
}

void write_age_buckets(const quota::BucketCounts& parts, wire::TenantUsage& usage) {
  std::vector<std::int32_t> counts;
  for (const auto count : parts) counts.push_back(static_cast<std::int32_t>(count));
  while (!counts.empty() && counts.back() == 0) counts.pop_back();
  usage.__set_parts(counts);
}

quota::BucketCounts read_age_buckets(const wire::TenantUsage& usage) {
  quota::BucketCounts parts{};
  const auto count = std::min(parts.size(), usage.parts.size());
  std::copy_n(usage.parts.begin(), count, parts.begin());
  return parts;
}

wire::TenantUsage age_usage(const wire::TenantUsage& usage, net::Millis age, net::Millis window) {
  auto later = usage;
  if (age >= window) {
    later.window = 0;
    later.parts.clear();
    return later;
  }
  const auto parts = read_age_buckets(usage);
  const auto older = static_cast<std::size_t>(age / quota::bucket_length(window));
  quota::BucketCounts shifted{};
  for (std::size_t part = 0; part < parts.size(); ++part) {
    if (part + older < parts.size()) {
      shifted[part + older] = parts[part];
    } else {
      later.window -= static_cast<std::int32_t>(parts[part]);
    }
  }
  if (usage.__isset.parts) write_age_buckets(shifted, later);
  return later;
}

void merge_usages(const TenantUsages& usages, const UsageReportInfo& info, TenantUsages& sum) {
  for (const auto& [tenant, report] : usages) {
    const auto usage = age_usage(report, info.age, info.window);
    auto& total = sum[tenant];
    total.window += usage.window;
    total.leaving_soon += usage.leaving_soon;
    if (info.still_receiving) total.asked_per_s += usage.asked_per_s;
    auto parts = read_age_buckets(total);
    const auto added = read_age_buckets(usage);
    std::transform(parts.begin(), parts.end(), added.begin(), parts.begin(), std::plus<>());
    write_age_buckets(parts, total);
  }
}

}  // namespace sailgate::cluster
