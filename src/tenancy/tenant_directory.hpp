/// @file Tenants of one version of the configuration, by API key.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "tenancy/tenant.hpp"

namespace sailgate::tenancy {

/// API key that a caller presented.
struct Credential {
  std::size_t fields = 0;  ///< number of header fields with a key
  std::string key;         ///< from the first of these fields; never logged
};

/// Immutable. Holds only digests of keys, so that neither logs nor memory dumps expose a key.
class TenantDirectory {
 public:
  TenantDirectory() = default;
  explicit TenantDirectory(std::vector<Tenant> tenants);

  /// Tenant of the credential, or nullptr. A request with more than one key field has no tenant:
  /// the choice between them would be ambiguous, and proxies may choose differently.
  const Tenant* find(const Credential& credential) const;

  /// Whether requests need credentials; true if any tenant is configured.
  bool credentials_required() const { return !tenants_.empty(); }
  const std::vector<Tenant>& tenants() const { return tenants_; }

 private:
  std::vector<Tenant> tenants_;
  std::unordered_map<std::string, std::size_t> by_digest_;
};

}  // namespace sailgate::tenancy
