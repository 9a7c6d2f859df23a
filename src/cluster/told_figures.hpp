/// @file Figures that nodes tell each other, of one node or summed over a zone.
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

struct ToldFigures {
  CountByKey loads;     ///< requests in flight, by engine
  CountByKey failures;  ///< in a row, by engine
  EngineSpeeds speeds;
  CountByKey prompts;    ///< requests of the last 5 s that begin with each shared prompt
  CountByKey begun;      ///< programs of late that were let begin, by tenant
  TenantUsages tenants;  ///< requests that were let through

  /// Adds all but the tenants, whose share depends on their age (merge_usages()). Speeds become the
  /// mean weighted by samples.
  void add(const ToldFigures& other);
};

ToldFigures figures_of(const wire::Beacon& beacon);
ToldFigures figures_of(const wire::ZoneSummary& summary);
/// Writes the figures into a summary.
void tell(const ToldFigures& figures, wire::ZoneSummary& summary);

/// Adds counts key by key.
void add_counts(const CountByKey& counts, CountByKey& sum);
/// Mean of both for each engine, weighted by samples.
void add_speeds(const EngineSpeeds& speeds, EngineSpeeds& sum);

}  // namespace sailgate::cluster
