/// @file How tenants share what a service can still take.
#pragma once

#include <cstdint>
#include <map>

namespace sailgate::admission {

/// Programs let begin of late over all nodes, by cluster::tenant_key().
using ProgramStartsByTenant = std::map<std::int32_t, std::int32_t>;

/// Max-min fair level: the most that each may have so that all together have `room`. Those that
/// have less keep what they have, and what they leave goes to the others in equal parts.
///
/// Answers the load of a tenant that sends many times its usual beside small ones. Only what was
/// let begin of late counts: a tenant that was silent gets no more than its share afterwards, and
/// one that sent much before is held back no longer than the counts reach.
/// @return the largest count when there is room for all.
double fair_level(const ProgramStartsByTenant& starts, double room);

/// The room at this shortage, in programs of the counts' span: 0 lets all begin on, 1 none.
double allowed_starts(const ProgramStartsByTenant& starts, double shortage);

}  // namespace sailgate::admission
