#include "cluster/told_figures.hpp"

#include <algorithm>

#include "balancing/engine_speed.hpp"

namespace sailgate::cluster {

namespace {

/// Beacons and summaries carry the same figures under the same names.
template <typename Message>
ToldFigures read(const Message& message) {
  ToldFigures figures;
  figures.loads = message.loads;
  figures.failures = message.failures;
  figures.speeds = message.speeds;
  figures.prompts = message.prompts;
  figures.begun = message.begun;
  figures.tenants = message.tenants;
  return figures;
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

void ToldFigures::add(const ToldFigures& other) {
  add_counts(other.loads, loads);
  add_counts(other.failures, failures);
  add_speeds(other.speeds, speeds);
  add_counts(other.prompts, prompts);
  add_counts(other.begun, begun);
}

ToldFigures figures_of(const wire::Beacon& beacon) { return read(beacon); }

ToldFigures figures_of(const wire::ZoneSummary& summary) { return read(summary); }

void tell(const ToldFigures& figures, wire::ZoneSummary& summary) {
  summary.loads = figures.loads;
  summary.failures = figures.failures;
  summary.__isset.failures = !figures.failures.empty();
  summary.speeds = figures.speeds;
  summary.__isset.speeds = !figures.speeds.empty();
  summary.prompts = figures.prompts;
  summary.__isset.prompts = !figures.prompts.empty();
  summary.begun = figures.begun;
  summary.__isset.begun = !figures.begun.empty();
  summary.tenants = figures.tenants;
  summary.__isset.tenants = !figures.tenants.empty();
}

}  // namespace sailgate::cluster
