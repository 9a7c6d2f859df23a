#include "serving/reach_watch.hpp"

#include "readiness/fleet_view.hpp"

namespace sailgate::serving {

namespace {

/// Other zones are heard several times a second. After this silence the store is probed as well, so
/// that the state of both is known when the node decides whether to step aside.
constexpr net::Millis kSilenceBeforeStoreCheck{400};
/// Timeout of a probe connection. A zone to which connecting takes longer could not serve callers
/// in time either.
constexpr net::Millis kZoneProbeTimeout{250};

}  // namespace

void ReachabilityMonitor::maintain(net::TimePoint now) {
  if (!state_.settings.mechanisms.readiness) return;
  update_readiness(now);
  update_zone_reachability(now);
}

void ReachabilityMonitor::update_readiness(net::TimePoint now) {
  auto view = readiness::build_readiness_view(state_.peers, now, state_.beacons.silence_limit());
  const auto& others = readiness::elsewhere(view);
  if (others.known > 0 && others.last_heard_age >= kSilenceBeforeStoreCheck) state_.store.verify();
  const auto& reachability = state_.store.reachability();
  view.store_failures = reachability.consecutive_failures();
  view.store_unanswered = reachability.unanswered(now);
  auto& tracker = state_.readiness;
  if (tracker.update(view, now)) {
    log_readiness(view);
    state_.metrics.set_steps_aside(tracker.steps_aside());
    idle_closed_ = false;
  }
  const bool load_balancer_noticed =
      tracker.time_aside(now) >= readiness::kLoadBalancerDetectionTime;
  if (!load_balancer_noticed || idle_closed_ || state_.shutdown.begun()) return;
  idle_closed_ = true;
  close_idle_connections_();
}

void ReachabilityMonitor::log_readiness(const readiness::ReadinessView& view) {
  const auto& tracker = state_.readiness;
  state_.log.event(tracker.steps_aside() ? "steps_aside" : "takes_callers_again")
      .with("why", readiness::name_of(tracker.latest().reason))
      .with("whole_zone", static_cast<int>(tracker.latest().whole_zone))
      .with("store_failures", view.store_failures)
      .with("store_unanswered_ms", view.store_unanswered.count())
      .with("zone_heard", view.own_zone.heard)
      .with("zone_reach_store", view.own_zone.reach_store)
      .with("zone_aside", view.own_zone.step_aside)
      .with("others_known", view.other_zones.known)
      .with("others_heard", view.other_zones.heard)
      .with("others_reach_store", view.other_zones.reach_store)
      .with("others_news_ms", view.other_zones.last_heard_age.count());
}

net::asio::awaitable<void> ReachabilityMonitor::probe_zone(balancing::EnginePointer engine) {
  net::beast::tcp_stream stream(state_.context);
  stream.expires_after(kZoneProbeTimeout);
  net::Error error;
  co_await stream.async_connect(engine->record.endpoint, net::awaiting(error));
  if (!error) zone_reachability_.record_contact(engine->record.zone, net::Clock::now());
}

void ReachabilityMonitor::update_zone_reachability(net::TimePoint now) {
  for (const auto& [zone, at] : readiness::last_heard_by_zone(state_.peers)) {
    zone_reachability_.record_contact(zone, at);
  }
  for (const auto& [engine, last_used] : state_.engines_in_use.all()) {
    if (engine->answered_at == net::TimePoint{}) continue;
    zone_reachability_.record_contact(engine->record.zone, engine->answered_at);
  }
  for (const auto& [zone, engines] : state_.engines.by_zone()) {
    if (zone != state_.settings.zone && !engines.empty()) update_zone(zone, engines, now);
  }
}

void ReachabilityMonitor::update_zone(const std::string& zone,
                                      const std::vector<balancing::EnginePointer>& engines,
                                      net::TimePoint now) {
  if (zone_reachability_.should_probe(zone, now)) {
    const auto chosen = state_.random.below(engines.size());
    net::asio::co_spawn(state_.context, probe_zone(engines[chosen]), net::asio::detached);
  }
  const ZoneMark mark{!zone_reachability_.reachable(zone, now),
                      state_.engines.membership_version()};
  const bool silent = mark.silent;
  auto& marked = marked_[zone];
  if (mark == marked) return;
  marked = mark;
  bool changed = false;
  for (const auto& engine : engines) {
    changed = changed || engine->zone_silent != silent;
    engine->zone_silent = silent;
  }
  if (!changed) return;
  if (silent) state_.peers.suspect_zone(zone, now);
  state_.log.event(silent ? "zone_silent" : "zone_heard")
      .with("zone", zone)
      .with("engines", engines.size())
      .with("silent_ms", zone_reachability_.silent_for(zone, now).count());
}

}  // namespace sailgate::serving
