/// @file Max-min fair sharing of a service's remaining capacity among tenants.
#pragma once

#include <cstdint>
#include <map>

namespace sailgate::admission {

/// Programs started recently on all nodes, by cluster::tenant_key().
using ProgramStartsByTenant = std::map<std::int32_t, std::int32_t>;

/// Max-min fair level: the cap per tenant at which all tenants together use `room`. Tenants below
/// the cap keep their count; what they leave unused is split equally among the others.
///
/// Protects small tenants from one that sends many times its usual load. Only recent starts count:
/// a tenant that was idle accumulates no credit, and one that sent too much is limited no longer
/// than the window of the counts.
/// @return the largest count when there is room for all.
double fair_level(const ProgramStartsByTenant& starts, double room);

/// Programs that may start per window of the counts at this shortage: all of the present count at
/// 0, none at 1.
double allowed_starts(const ProgramStartsByTenant& starts, double shortage);

}  // namespace sailgate::admission
