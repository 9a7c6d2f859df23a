#include "configuration/bundle_check.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace sailgate::configuration {
namespace {

constexpr std::int32_t kMaxSharePercent = 100;

using Shares = std::map<std::string, std::int32_t>;

void add_shares(const wire::Bundle& bundle, Shares& shares) {
  for (const auto& reservation : bundle.reservations) {
    shares[reservation.model] += reservation.share_percent;
  }
}

std::string describe_overcommitment(const Shares& shares) {
  for (const auto& [model, share] : shares) {
    if (share > kMaxSharePercent) {
      return "reservations of model " + model + " total " + std::to_string(share) +
             " percent, more than 100";
    }
  }
  return {};
}

bool defines_tenant(const wire::Bundle& bundle, const std::string& tenant) {
  return std::any_of(bundle.tenants.begin(), bundle.tenants.end(),
                     [&tenant](const wire::TenantRule& rule) { return rule.name == tenant; });
}

}  // namespace

std::string validate_bundle(const wire::Bundle& bundle) {
  if (bundle.partner.empty()) return "bundle has no partner name";
  if (bundle.version < 1) return "bundle version must be at least 1";
  std::set<std::string> tenants;
  for (const auto& tenant : bundle.tenants) {
    if (!tenants.insert(tenant.name).second) return "tenant " + tenant.name + " is listed twice";
  }
  std::set<std::string> kinds;
  for (const auto& program : bundle.programs) {
    if (!kinds.insert(program.kind).second)
      return "program kind " + program.kind + " is listed twice";
  }
  for (const auto& reservation : bundle.reservations) {
    const bool in_range =
        reservation.share_percent >= 1 && reservation.share_percent <= kMaxSharePercent;
    if (!in_range) return "reservation share must be between 1 and 100 percent";
    if (kinds.count(reservation.kind) == 0)
      return "reservation for unknown program kind " + reservation.kind;
  }
  for (const auto& placement : bundle.placements) {
    if (kinds.count(placement.kind) == 0)
      return "placement for unknown program kind " + placement.kind;
  }
  Shares shares;
  add_shares(bundle, shares);
  return describe_overcommitment(shares);
}

std::string validate_in_configuration(const wire::Bundle& bundle,
                                      const wire::Configuration& active) {
  Shares shares;
  add_shares(bundle, shares);
  for (const auto& other : active.bundles) {
    if (other.partner == bundle.partner) {
      if (bundle.version > other.version) continue;
      return "version " + std::to_string(bundle.version) + " is not newer than active version " +
             std::to_string(other.version) + " of the same partner";
    }
    add_shares(other, shares);
    for (const auto& tenant : bundle.tenants) {
      if (defines_tenant(other, tenant.name)) {
        return "tenant " + tenant.name + " already belongs to partner " + other.partner;
      }
    }
  }
  return describe_overcommitment(shares);
}

wire::Configuration apply_bundle(const wire::Configuration& active, const wire::Bundle& bundle) {
  wire::Configuration next;
  next.generation = active.generation + 1;
  for (const auto& other : active.bundles) {
    if (other.partner != bundle.partner) next.bundles.push_back(other);
  }
  next.bundles.push_back(bundle);
  return next;
}

const wire::TenantRule* find_tenant(const wire::Configuration& configuration,
                                    const std::string& tenant) {
  for (const auto& bundle : configuration.bundles) {
    for (const auto& rule : bundle.tenants) {
      if (rule.name == tenant) return &rule;
    }
  }
  return nullptr;
}

const wire::ProgramRule* find_program(const wire::Configuration& configuration,
                                      const std::string& tenant, const std::string& kind) {
  for (const auto& bundle : configuration.bundles) {
    if (!defines_tenant(bundle, tenant)) continue;
    for (const auto& rule : bundle.programs) {
      if (rule.kind == kind) return &rule;
    }
  }
  return nullptr;
}

}  // namespace sailgate::configuration
