#include "cluster/told_figures.hpp"

#include <algorithm>

#include "balancing/engine_speed.hpp"

namespace sailgate::cluster {

namespace {

/// Beacons and summaries carry the same statistics under the same field names.
template <typename Message>
NodeStats read(const Message& message) {
  NodeStats stats;
  stats.loads = message.loads;
  stats.failures = message.failures;
  stats.speeds = message.speeds;
  stats.prompts = message.prompts;
  stats.begun = message.begun;
  stats.tenants = message.tenants;
  return stats;
}

}  // namespace

void add_counts(const CountByKey& counts, CountByKey& sum) {
  for (const auto& [key, count] : counts) sum[key] += count;
}

void add_speeds(const EngineSpeeds& speeds, EngineSpeeds& sum) {
  for (const auto& [engine, speed] : speeds) {
    if (speed.samples <= 0) continue;
    auto& mean = sum[engine];
    const auto samples = std::min(speed.samples, balancing::kMaxSamples);
    const std::int64_t permille =
        std::clamp(speed.permille, balancing::kMinPermille, balancing::kMaxPermille);
    const std::int64_t weighted = std::int64_t{mean.permille} * mean.samples + permille * samples;
    mean.samples += samples;
    mean.permille = static_cast<std::int32_t>(weighted / mean.samples);
  }
}

void NodeStats::add(const NodeStats& other) {
  add_counts(other.loads, loads);
  add_counts(other.failures, failures);
  add_speeds(other.speeds, speeds);
  add_counts(other.prompts, prompts);
  add_counts(other.begun, begun);
}

NodeStats extract_stats(const wire::Beacon& beacon) { return read(beacon); }

NodeStats extract_stats(const wire::ZoneSummary& summary) { return read(summary); }

void write_stats(const NodeStats& stats, wire::ZoneSummary& summary) {
  summary.loads = stats.loads;
  summary.failures = stats.failures;
  summary.__isset.failures = !stats.failures.empty();
  summary.speeds = stats.speeds;
  summary.__isset.speeds = !stats.speeds.empty();
  summary.prompts = stats.prompts;
  summary.__isset.prompts = !stats.prompts.empty();
  summary.begun = stats.begun;
  summary.__isset.begun = !stats.begun.empty();
  summary.tenants = stats.tenants;
  summary.__isset.tenants = !stats.tenants.empty();
}

}  // namespace sailgate::cluster
