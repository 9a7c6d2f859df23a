#include "cluster/tenant_usage.hpp"

#include <algorithm>
#include <functional>
#include <vector>

#include "base/digest.hpp"

namespace sailgate::cluster {

std::int32_t tenant_key(const std::string& tenant) {
  return static_cast<std::int32_t>(base::fast_digest(tenant));
}

void tell_parts(const quota::PartCounts& parts, wire::TenantUsage& usage) {
  std::vector<std::int32_t> told;
  for (const auto count : parts) told.push_back(static_cast<std::int32_t>(count));
  while (!told.empty() && told.back() == 0) told.pop_back();
  usage.__set_parts(told);
}

quota::PartCounts told_parts(const wire::TenantUsage& usage) {
  quota::PartCounts parts{};
  const auto told = std::min(parts.size(), usage.parts.size());
  std::copy_n(usage.parts.begin(), told, parts.begin());
  return parts;
}

wire::TenantUsage aged(const wire::TenantUsage& usage, net::Millis age, net::Millis window) {
  auto later = usage;
  if (age >= window) {
    later.window = 0;
    later.parts.clear();
    return later;
  }
  const auto parts = told_parts(usage);
  const auto older = static_cast<std::size_t>(age / quota::part_of(window));
  quota::PartCounts shifted{};
  for (std::size_t part = 0; part < parts.size(); ++part) {
    if (part + older < parts.size()) {
      shifted[part + older] = parts[part];
    } else {
      later.window -= static_cast<std::int32_t>(parts[part]);
    }
  }
  if (usage.__isset.parts) tell_parts(shifted, later);
  return later;
}

void add_usages(const TenantUsages& usages, const UsageNews& news, TenantUsages& sum) {
  for (const auto& [tenant, told] : usages) {
    const auto usage = aged(told, news.age, news.window);
    auto& total = sum[tenant];
    total.window += usage.window;
    total.leaving_soon += usage.leaving_soon;
    if (news.still_asked) total.asked_per_s += usage.asked_per_s;
    auto parts = told_parts(total);
    const auto added = told_parts(usage);
    std::transform(parts.begin(), parts.end(), added.begin(), parts.begin(), std::plus<>());
    tell_parts(parts, total);
  }
}

}  // namespace sailgate::cluster
