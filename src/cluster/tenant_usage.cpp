#include "cluster/tenant_usage.hpp"

#include <cmath>

#include "base/digest.hpp"

namespace sailgate::cluster {

std::int32_t tenant_key(const std::string& tenant) {
  return static_cast<std::int32_t>(base::fast_digest(tenant));
}

void add_usages(const TenantUsages& usages, double share, TenantUsages& sum) {
  if (share <= 0) return;
  for (const auto& [tenant, usage] : usages) {
    auto& total = sum[tenant];
    total.window += static_cast<std::int32_t>(std::ceil(usage.window * share));
    total.asked_per_s += static_cast<std::int32_t>(std::ceil(usage.asked_per_s * share));
  }
}

}  // namespace sailgate::cluster
