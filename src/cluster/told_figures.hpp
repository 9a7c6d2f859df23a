/// @file Statistics that nodes exchange, of one node or aggregated over a zone.
#pragma once

#include <cstdint>
#include <map>

#include "cluster/tenant_usage.hpp"
#include "cluster_types.h"

namespace sailgate::cluster {

/// Counts by engine_key(), prompt_key() or tenant_key().
using CountByKey = std::map<std::int32_t, std::int32_t>;
/// By engine_key().
using EngineSpeeds = std::map<std::int32_t, wire::EngineSpeed>;

struct NodeStats {
  CountByKey loads;     ///< in-flight requests by engine
  CountByKey failures;  ///< consecutive failures by engine
  EngineSpeeds speeds;
  CountByKey prompts;    ///< requests of the last 5 s by shared prompt prefix
  CountByKey begun;      ///< recently admitted programs by tenant
  TenantUsages tenants;  ///< admitted requests by tenant

  /// Adds everything except tenants' usage, whose contribution depends on its age (see
  /// merge_usages()). Speeds become the mean weighted by samples.
  void add(const NodeStats& other);
};

NodeStats extract_stats(const wire::Beacon& beacon);
NodeStats extract_stats(const wire::ZoneSummary& summary);
/// Writes the statistics into a summary.
void write_stats(const NodeStats& stats, wire::ZoneSummary& summary);

/// Adds counts key by key.
void add_counts(const CountByKey& counts, CountByKey& sum);
/// Merges speeds into `sum` as the mean per engine, weighted by samples.
void add_speeds(const EngineSpeeds& speeds, EngineSpeeds& sum);

}  // namespace sailgate::cluster
