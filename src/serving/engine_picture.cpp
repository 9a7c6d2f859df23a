#include "serving/engine_picture.hpp"

#include <algorithm>

namespace sailgate::serving {

namespace {

/// Interval between updates of the prompt placement. It is long enough for the request counts of
/// all nodes to reach each other, and a small part of the window over which requests are counted.
constexpr net::Millis kPlacementInterval{1000};
/// Maximum log lines per service and update about prompts whose number of engines changed. Each
/// line contains the total number of changes.
constexpr std::size_t kMaxReplicaLogLines = 4;

}  // namespace

void EngineStateUpdater::maintain(net::TimePoint now) {
  const auto& mechanisms = state_.settings.mechanisms;
  state_.engines_in_use.evict_idle(now);
  if (mechanisms.peer_loads) update_loads(now);
  if (mechanisms.peer_failures) update_failures(now);
  if (mechanisms.speeds) update_speeds(now);
  if (mechanisms.prompts) update_prompt_placement(now);
}

void EngineStateUpdater::update_loads(net::TimePoint now) {
  const auto peer_loads = state_.peers.loads(now, state_.beacons.silence_limit());
  for (const auto& engine : loaded_by_peers_) engine->peer_in_flight = 0;
  loaded_by_peers_.clear();
  const bool includes_own = state_.peers.has_digest(now, state_.beacons.silence_limit());
  for (const auto& [key, in_flight] : peer_loads.by_key()) {
    for (const auto& engine : state_.engines.with_key(key)) {
      const int own = includes_own ? engine->in_flight : 0;
      engine->peer_in_flight = std::max(in_flight - own, 0);
      loaded_by_peers_.push_back(engine);
    }
  }
}

void EngineStateUpdater::update_speeds(net::TimePoint now) {
  if (now < speeds_updated_at_ + balancing::kSpeedSampleInterval) return;
  speeds_updated_at_ = now;
  const auto reported = state_.peers.live_stats(now, state_.beacons.silence_limit()).speeds;
  for (const auto& [engine, last_used] : state_.engines_in_use.all()) measured_.insert(engine);
  for (const auto& [key, speed] : reported) {
    for (const auto& engine : state_.engines.with_key(key)) measured_.insert(engine);
  }
  double slowest = 1;
  double fastest = 1;
  for (auto next = measured_.begin(); next != measured_.end();) {
    auto& engine = **next;
    const auto entry = reported.find(engine.key);
    balancing::SpeedReport peer_report;
    if (entry != reported.end()) peer_report = {entry->second.permille, entry->second.samples};
    engine.speed_estimate.update(engine.own_speed.figure(now), peer_report, now);
    engine.speed = engine.speed_estimate.value();
    slowest = std::min(slowest, engine.speed);
    fastest = std::max(fastest, engine.speed);
    log_speed(engine, peer_report, now);
    const bool forgotten =
        !engine.speed_estimate.has_samples(now) && engine.speed_step.value() == 0;
    next = forgotten || !state_.engines.lists(engine) ? measured_.erase(next) : std::next(next);
  }
  if (state_.engines.size() > 0) state_.metrics.set_engine_speeds(slowest, fastest);
}

void EngineStateUpdater::log_speed(balancing::Engine& engine,
                                   const balancing::SpeedReport& reported, net::TimePoint now) {
  const auto before = engine.speed_step.value();
  if (!engine.speed_step.should_log(engine.speed, now)) return;
  const auto own = engine.own_speed.figure(now);
  state_.log.event("engine_speed")
      .with("engine", engine.record.id)
      .with("speed", engine.speed)
      .with("step", engine.speed_step.value())
      .with("step_before", before)
      .with("own_permille", own.permille)
      .with("own_samples", own.samples)
      .with("told_permille", reported.permille)
      .with("told_samples", reported.samples);
}

std::vector<balancing::EnginePointer> EngineStateUpdater::possibly_failing(
    const cluster::EngineLoads& reported) {
  std::unordered_set<balancing::EnginePointer> engines(awaiting_probe_.begin(),
                                                       awaiting_probe_.end());
  for (const auto& [engine, last_used] : state_.engines_in_use.all()) engines.insert(engine);
  for (const auto& [key, failures] : reported.by_key()) {
    for (const auto& engine : state_.engines.with_key(key)) engines.insert(engine);
  }
  return {engines.begin(), engines.end()};
}

void EngineStateUpdater::update_failures(net::TimePoint now) {
  const auto silence = state_.beacons.silence_limit();
  const auto failures = state_.peers.failures(now, silence);
  const bool includes_own = state_.peers.has_digest(now, silence);
  for (const auto& engine : possibly_failing(failures)) {
    const auto& id = engine->record.id;
    const bool own_included = includes_own && balancing::failed_lately(*engine, now);
    const int own = own_included ? engine->consecutive_failures : 0;
    const int reported = std::max(failures.at(id) - own, 0);
    const bool suspect = reported > 0 || balancing::failed_lately(*engine, now);
    const bool probes = suspect && !state_.peers.home(id, now, silence).has_value();
    const bool awaiting = suspect && balancing::should_await_probe(*engine, reported, probes, now);
    if (awaiting == engine->awaiting_probe) continue;
    engine->awaiting_probe = awaiting;
    if (awaiting) {
      awaiting_probe_.insert(engine);
    } else {
      awaiting_probe_.erase(engine);
    }
    state_.log.event(awaiting ? "engine_left_to_probe" : "engine_used_again")
        .with("engine", id)
        .with("own_failures", engine->consecutive_failures)
        .with("told_failures", reported);
  }
}

void EngineStateUpdater::update_prompt_placement(net::TimePoint now) {
  if (state_.routes == nullptr || now < prompts_updated_at_ + kPlacementInterval) return;
  prompts_updated_at_ = now;
  const bool includes_own = state_.peers.has_digest(now, state_.beacons.silence_limit());
  auto counts = includes_own ? balancing::PromptCounts{} : state_.prompt_demand.told(now);
  cluster::add_counts(state_.peers.live_stats(now, state_.beacons.silence_limit()).prompts, counts);
  std::size_t prompts = 0;
  std::size_t copies = 0;
  for (const auto& service : state_.routes->configuration().services) {
    balancing::PromptCounts of_service;
    for (const auto& [key, requests] : counts) {
      if (balancing::is_prompt_of(key, service.name)) of_service[key] = requests;
    }
    const auto tokens = state_.prompt_demand.mean_tokens(service.name, now);
    auto& placement = state_.prompt_placements[service.name];
    const auto changes =
        placement.update(of_service, state_.engines.of_service(service.name),
                         balancing::prompts_per_engine(service.engine_memory_tokens, tokens));
    log_replica_changes(service, tokens, changes);
    prompts += placement.prompts();
    copies += placement.copies();
  }
  state_.metrics.set_prompts(prompts, copies);
}

void EngineStateUpdater::log_replica_changes(
    const routing::Service& service, double prompt_tokens,
    const std::vector<balancing::ReplicaCountChange>& changes) {
  std::size_t lines = 0;
  for (const auto& change : changes) {
    if (lines++ == kMaxReplicaLogLines) break;
    state_.log.event("prompt_engines")
        .with("service", service.name)
        .with("memory_tokens", service.engine_memory_tokens)
        .with("prompt_tokens", static_cast<std::int64_t>(prompt_tokens))
        .with("prompt", change.prompt)
        .with("before", change.before)
        .with("after", change.after)
        .with("requests", change.requests)
        .with("all_requests", change.all_requests)
        .with("changes", changes.size());
  }
}

}  // namespace sailgate::serving
