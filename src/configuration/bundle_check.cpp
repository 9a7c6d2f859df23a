#include "configuration/bundle_check.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace sailgate::configuration {
namespace {

constexpr std::int32_t kWholeShare = 100;

using Shares = std::map<std::string, std::int32_t>;

void add_shares(const wire::Bundle& bundle, Shares& shares) {
  for (const auto& reservation : bundle.reservations) {
    shares[reservation.model] += reservation.share_percent;
  }
}

std::string overbooked(const Shares& shares) {
  for (const auto& [model, share] : shares) {
    if (share > kWholeShare) {
      return "reservations of model " + model + " add up to " + std::to_string(share) + " percent";
    }
  }
  return {};
}

bool names_tenant(const wire::Bundle& bundle, const std::string& tenant) {
  return std::any_of(bundle.tenants.begin(), bundle.tenants.end(),
                     [&tenant](const wire::TenantRule& rule) { return rule.name == tenant; });
}

}  // namespace

std::string validate_bundle(const wire::Bundle& bundle) {
  if (bundle.partner.empty()) return "the bundle names no partner";
  if (bundle.version < 1) return "the version must be at least 1";
  std::set<std::string> tenants;
  for (const auto& tenant : bundle.tenants) {
    if (!tenants.insert(tenant.name).second) return "tenant " + tenant.name + " is listed twice";
  }
  std::set<std::string> kinds;
  for (const auto& program : bundle.programs) {
    if (!kinds.insert(program.kind).second) return "kind " + program.kind + " is listed twice";
  }
  for (const auto& reservation : bundle.reservations) {
    const bool possible =
        reservation.share_percent >= 1 && reservation.share_percent <= kWholeShare;
    if (!possible) return "a reservation must be from 1 to 100 percent";
    if (kinds.count(reservation.kind) == 0)
      return "reservation for unknown kind " + reservation.kind;
  }
  for (const auto& wish : bundle.placements) {
    if (kinds.count(wish.kind) == 0) return "placement for unknown kind " + wish.kind;
  }
  Shares shares;
  add_shares(bundle, shares);
  return overbooked(shares);
}

std::string validate_in_configuration(const wire::Bundle& bundle,
                                      const wire::Configuration& in_force) {
  Shares shares;
  add_shares(bundle, shares);
  for (const auto& other : in_force.bundles) {
    if (other.partner == bundle.partner) {
      if (bundle.version > other.version) continue;
      return "version " + std::to_string(bundle.version) + " is not newer than version " +
             std::to_string(other.version) + " in force";
    }
    add_shares(other, shares);
    for (const auto& tenant : bundle.tenants) {
      if (names_tenant(other, tenant.name)) {
        return "tenant " + tenant.name + " belongs to partner " + other.partner;
      }
    }
  }
  return overbooked(shares);
}

wire::Configuration apply_bundle(const wire::Configuration& in_force, const wire::Bundle& bundle) {
  wire::Configuration next;
  next.generation = in_force.generation + 1;
  for (const auto& other : in_force.bundles) {
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
    if (!names_tenant(bundle, tenant)) continue;
    for (const auto& rule : bundle.programs) {
      if (rule.kind == kind) return &rule;
    }
  }
  return nullptr;
}

}  // namespace sailgate::configuration
