/// @file Route lookup in one version of the configuration.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/configuration.hpp"
#include "tenancy/tenant_directory.hpp"

namespace sailgate::routing {

/// Immutable index over a Configuration, shared by the requests that started under it.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);

  /// Route of `host` with the longest prefix that matches `path`, or nullptr. A port in `host` and
  /// the query of `path` are ignored; host names are case-insensitive.
  const Route* find(std::string_view host, std::string_view path) const;

  /// @return the service of this name, or nullptr.
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

/// Chooses the service for one request of `route` at random by weight. @param draw uniform random
/// number in [0, 1).
const std::string& choose_service(const Route& route, double draw);

}  // namespace sailgate::routing
