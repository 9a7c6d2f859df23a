#include "balancing/exchange_times.hpp"

#include <algorithm>
#include <cmath>

namespace sailgate::balancing {

namespace {

/// Part of what a sample leaves unexplained that the load is taken to explain: slow against the
/// usual time, so that it settles over many engines and does not learn one of them.
constexpr double kLoadStep = 0.02;
/// A load explains up to twice or half the time: batches of engines grow by less.
const double kMostAdded = std::log(2.0);

}  // namespace

int LoadAdjustedTime::level_of(const Engine& engine) {
  const int requests = engine.in_flight + engine.peer_in_flight;
  const int slots = std::max(engine.record.slots, 1);
  return std::clamp(requests * kLevelsPerSlots / slots, 0, kLevels - 1);
}

double LoadAdjustedTime::add(double milliseconds, const Engine& engine) {
  if (!(milliseconds > 0)) return 0;
  auto& added = added_.at(static_cast<std::size_t>(level_of(engine)));
  const bool known = usual_.known();
  const double slowness = std::log(milliseconds) - added - usual_.log();
  usual_.add(milliseconds / std::exp(added));
  if (!known) return 0;
  const double unexplained = std::clamp(slowness + std::log(engine.speed), -1.0, 1.0);
  added = std::clamp(added + kLoadStep * unexplained, -kMostAdded, kMostAdded);
  return slowness;
}

void ExchangeTimes::record_stream(Engine& engine, const StreamTimes& times, net::TimePoint now) {
  auto& service = services_[engine.record.service];
  (times.prompt_cached ? service.first_kept : service.first_anew).add(times.first_event_ms);
  if (times.prompt_cached) service.turn_kept.add(times.total_ms);
  if (times.mean_event_gap_ms <= 0) return;
  const bool known = service.events.usual().known();
  const double slowness = service.events.add(times.mean_event_gap_ms, engine);
  if (known) engine.own_speed.add(slowness, now);
}

void ExchangeTimes::record_plain_call(Engine& engine, const std::string& route, double milliseconds,
                                      net::TimePoint now) {
  auto& routes = services_[engine.record.service].routes;
  if (routes.count(route) == 0 && routes.size() >= kMostRoutes) return;
  auto& times = routes[route];
  const bool known = times.usual().known();
  const double slowness = times.add(milliseconds, engine);
  if (known) engine.own_speed.add(slowness, now);
}

double ExchangeTimes::turn_to_prefill_ratio(const std::string& service) const {
  const auto entry = services_.find(service);
  if (entry == services_.end()) return 0;
  const auto& times = entry->second;
  if (!times.first_kept.known() || !times.first_anew.known() || !times.turn_kept.known()) return 0;
  const double kept = times.first_kept.milliseconds();
  const double reading = times.first_anew.milliseconds() - kept;
  // Where reading anew costs nothing to speak of, it costs at least a tenth of the wait.
  constexpr double kLeastReading = 0.1;
  return times.turn_kept.milliseconds() / std::max(reading, kLeastReading * kept);
}

}  // namespace sailgate::balancing
