#include "balancing/exchange_times.hpp"

#include <algorithm>
#include <cmath>

namespace sailgate::balancing {

namespace {

/// Share of the unexplained part of a sample that is attributed to the load. Small compared with
/// the step of the typical time, so that the load terms converge over many engines instead of
/// learning the speed of one.
constexpr double kLoadLearningRate = 0.02;
/// The load explains at most a factor of two in either direction; batch sizes of engines have less
/// effect than that.
const double kMaxLoadTerm = std::log(2.0);

}  // namespace

int LoadAdjustedTime::level_of(const Engine& engine) {
  const int requests = engine.in_flight + engine.peer_in_flight;
  const int slots = std::max(engine.record.slots, 1);
  return std::clamp(requests * kLevelsPerFullLoad / slots, 0, kLevels - 1);
}

double LoadAdjustedTime::add(double milliseconds, const Engine& engine) {
  if (!(milliseconds > 0)) return 0;
  auto& load_term = load_terms_.at(static_cast<std::size_t>(level_of(engine)));
  const bool known = typical_.known();
  const double slowness = std::log(milliseconds) - load_term - typical_.log();
  typical_.add(milliseconds / std::exp(load_term));
  if (!known) return 0;
  const double unexplained = std::clamp(slowness + std::log(engine.speed), -1.0, 1.0);
  load_term = std::clamp(load_term + kLoadLearningRate * unexplained, -kMaxLoadTerm, kMaxLoadTerm);
  return slowness;
}

void ExchangeTimes::record_stream(Engine& engine, const StreamTimes& times, net::TimePoint now) {
  auto& service = services_[engine.record.service];
  (times.prompt_cached ? service.first_event_cached : service.first_event_uncached)
      .add(times.first_event_ms);
  if (times.prompt_cached) service.turn_cached.add(times.total_ms);
  if (times.mean_event_gap_ms <= 0) return;
  const bool known = service.events.typical().known();
  const double slowness = service.events.add(times.mean_event_gap_ms, engine);
  if (known) engine.own_speed.add(slowness, now);
}

void ExchangeTimes::record_plain_call(Engine& engine, const std::string& route, double milliseconds,
                                      net::TimePoint now) {
  auto& routes = services_[engine.record.service].routes;
  if (routes.count(route) == 0 && routes.size() >= kMaxRoutes) return;
  auto& times = routes[route];
  const bool known = times.typical().known();
  const double slowness = times.add(milliseconds, engine);
  if (known) engine.own_speed.add(slowness, now);
}

double ExchangeTimes::turn_to_prefill_ratio(const std::string& service) const {
  const auto entry = services_.find(service);
  if (entry == services_.end()) return 0;
  const auto& times = entry->second;
  if (!times.first_event_cached.known() || !times.first_event_uncached.known() ||
      !times.turn_cached.known())
    return 0;
  const double cached_ms = times.first_event_cached.milliseconds();
  const double prefill_ms = times.first_event_uncached.milliseconds() - cached_ms;
  // Lower bound of the prefill time as a share of the wait for the first event, for services where
  // prefill is negligible.
  constexpr double kMinPrefillShare = 0.1;
  return times.turn_cached.milliseconds() / std::max(prefill_ms, kMinPrefillShare * cached_ms);
}

}  // namespace sailgate::balancing
