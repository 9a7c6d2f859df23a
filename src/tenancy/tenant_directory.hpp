/// @file Tenants of one version of the configuration, by the keys of their callers.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "tenancy/tenant.hpp"

namespace sailgate::tenancy {

/// What a caller presented to say who it is.
struct Credential {
  std::size_t fields = 0;  ///< header fields that held a key
  std::string key;         ///< of the first one; never logged
};

/// Immutable. Holds digests of keys only, so that neither a log nor a memory dump shows a key.
class TenantDirectory {
 public:
  TenantDirectory() = default;
  explicit TenantDirectory(std::vector<Tenant> tenants);

  /// Tenant of the credential; nullptr when it names none. More than one key field names none:
  /// which of them counts would be a guess, and proxies on the way may guess otherwise.
  const Tenant* find(const Credential& credential) const;

  /// Whether requests must say whose they are.
  bool credentials_required() const { return !tenants_.empty(); }
  const std::vector<Tenant>& tenants() const { return tenants_; }

 private:
  std::vector<Tenant> tenants_;
  std::unordered_map<std::string, std::size_t> by_digest_;
};

}  // namespace sailgate::tenancy
