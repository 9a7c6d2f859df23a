#include "tenancy/tenant_directory.hpp"

#include "base/digest.hpp"

namespace sailgate::tenancy {

TenantDirectory::TenantDirectory(std::vector<Tenant> tenants) : tenants_(std::move(tenants)) {
  for (std::size_t index = 0; index < tenants_.size(); ++index) {
    for (const auto& digest : tenants_[index].key_digests) by_digest_.emplace(digest, index);
  }
}

const Tenant* TenantDirectory::find(const Credential& credential) const {
  if (credential.fields != 1 || credential.key.empty()) return nullptr;
  const auto entry = by_digest_.find(base::token_digest(credential.key));
  return entry == by_digest_.end() ? nullptr : &tenants_[entry->second];
}

}  // namespace sailgate::tenancy
