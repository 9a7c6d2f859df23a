/// @file Route look-up in one version of the configuration.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/configuration.hpp"
#include "tenancy/tenant_directory.hpp"

namespace sailgate::routing {

/// Immutable index over a Configuration. Shared by the requests that began under it.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);

  /// Route of `host` with the longest prefix that begins `path`; nullptr when there is none.
  /// A port in `host` is ignored; host names compare without case.
  const Route* find(std::string_view host, std::string_view path) const;

  /// @return the service's entry, or nullptr.
  const Service* service(const std::string& name) const;

  const tenancy::TenantDirectory& tenants() const { return tenants_; }
  const Configuration& configuration() const { return configuration_; }
  std::int64_t version() const { return configuration_.version; }

 private:
  Configuration configuration_;
  tenancy::TenantDirectory tenants_;
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;  ///< longest prefix first
  std::unordered_map<std::string, const Service*> services_;
};

/// Service for one request of `route`, by weight. @param draw uniform in [0, 1).
const std::string& choose_service(const Route& route, double draw);

}  // namespace sailgate::routing
