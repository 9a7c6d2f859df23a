#include "balancing/engine_selector.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "balancing/rendezvous.hpp"

namespace sailgate::balancing {

namespace {

/// Cost of a round trip to another zone, in units of an engine's full load.
constexpr double kCrossZoneCost = 0.5;
/// Cost difference between the first and the last engine of a rendezvous order.
constexpr double kAffinityCost = 2.0;
/// Cost of a new connection: a node opens one only if the engine's load is lower by half of its
/// slots. This keeps each node on a few engines, and different nodes on different ones. At 0.15,
/// less than one request at six slots, nodes with stale load data kept switching engines: 295 nodes
/// with 153 engines opened a connection for one request in five.
constexpr double kConnectCost = 0.5;
/// Cost difference between the first and the last engine of a program's rendezvous order among the
/// engines that have its prompt prefix cached, in units of an engine's full load. Since any of them
/// can serve the prefix, low load counts more than agreeing with other nodes; the order keeps nodes
/// with stale load data from all choosing the same engine.
constexpr double kCachedAffinityCost = 0.5;
/// Engines without the cached prefix rank after all that have it but stay eligible: prefilling the
/// prefix takes longer than waiting for a slot.
constexpr double kUncachedPromptCost = 4.0;
/// Bounded loads: an engine above both bounds is used only if all engines are. The first is a share
/// of its slots at normal speed, the second a multiple of the service's mean load.
constexpr double kSaturationLoad = 0.85;
constexpr double kSaturationOverMean = 1.25;

/// A line (sequence of turns that extend one prompt) stays at its engine while the load is below
/// the larger of these two bounds: all slots in use, and a multiple of the mean load. Above them a
/// turn waits longer than prefilling its prompt on another engine takes.
constexpr double kStickyLoad = 1.0;
constexpr double kStickyOverMean = 1.5;

/// Number of turns over which the gain of moving a line to a faster engine is computed: the current
/// one and one more. Programs usually have several, but the number left is unknown.
constexpr double kTurnsAfterMove = 2;
/// The gain must be at least this multiple of the prefill cost: speed estimates are accurate to
/// about 15 %, and a needless move costs as much engine time as it was meant to save.
constexpr double kMinGainOverPrefill = 2;

/// Lines look for a faster engine only if theirs is at or below this speed. Permanently slower
/// engines get fewer programs instead: at half the speed a program, including its pauses and
/// network time, takes about 1.4 times as long, which callers tolerate, while lines that move put
/// pressure on the memory of the faster engines. At 0.75, with a quarter of the engines at half
/// speed, the load of the busiest engine rose from 1.28 to 2.08 of the mean and the number of late
/// programs from 1 to 6 of 2,270 (84 nodes, one run each).
constexpr double kSlowSpeed = 0.4;

/// Transforms a rendezvous draw so that an engine comes first for a share of the keys proportional
/// to its speed. Leaves the draw unchanged at normal speed.
double weighted_by_speed(double draw, double speed) {
  if (speed == 1) return draw;
  return 1 - std::pow(1 - draw, 1 / speed);
}

struct Rank {
  bool avoided;
  bool saturated;
  double cost;

  bool operator<(const Rank& other) const {
    return std::tie(avoided, saturated, cost) <
           std::tie(other.avoided, other.saturated, other.cost);
  }
};

/// Random order among engines of equal rank.
std::uint64_t tie_break(const Engine& engine, const SelectionQuery& query) {
  return XXH64(engine.record.id.data(), engine.record.id.size(), query.draw);
}

double load_of(const Engine& engine) {
  const double requests = engine.in_flight + engine.peer_in_flight;
  return requests / (engine.record.slots * engine.speed);
}

bool avoided(const Engine& engine, const SelectionQuery& query) {
  return engine.awaiting_probe || engine.zone_silent || query.now < engine.avoid_until;
}

/// Connections are ignored for requests with an affinity key: moving a program costs a prefill of
/// its whole prompt.
double affinity_cost(const Engine& engine, const SelectionQuery& query) {
  const auto& id = engine.record.id;
  if (query.prompt == nullptr) {
    return kAffinityCost * weighted_by_speed(rendezvous_draw(query.affinity_key, id), engine.speed);
  }
  if (query.prompt->hold(id)) {
    const double draw = weighted_by_speed(rendezvous_draw(query.affinity_key, id), engine.speed);
    return kCachedAffinityCost * draw + load_of(engine);
  }
  return kUncachedPromptCost + kAffinityCost * rendezvous_draw(query.prompt->order_key, id);
}

Rank rank(const Engine& engine, const SelectionQuery& query, double saturation) {
  const double load = load_of(engine);
  const double zone = engine.record.zone == query.zone ? 0.0 : kCrossZoneCost;
  const double connect = engine.idle_connections > 0 ? 0.0 : kConnectCost;
  const bool keyed = !query.affinity_key.empty();
  const double preference = keyed ? affinity_cost(engine, query) : load + connect;
  return {avoided(engine, query), load >= saturation, preference + zone};
}

bool excluded(const SelectionQuery& query, const Engine& engine) {
  return std::find(query.excluded.begin(), query.excluded.end(), engine.record.id) !=
         query.excluded.end();
}

bool eligible(const SelectionQuery& query, const Engine& engine) {
  const bool version_fits =
      !query.software_version || engine.record.software_version == *query.software_version;
  return engine.usable() && version_fits && !excluded(query, engine);
}

/// The engine of the line's last turn, if the line should stay there; otherwise nullptr.
EnginePointer sticky_engine(const EngineRegistry& registry, const SelectionQuery& query,
                            double mean) {
  if (query.line_engine.empty()) return nullptr;
  auto engine = registry.find(query.line_engine);
  if (engine == nullptr || engine->record.service != query.service) return nullptr;
  if (!eligible(query, *engine) || avoided(*engine, query)) return nullptr;
  const double bound = std::max(kStickyLoad, kStickyOverMean * mean);
  return load_of(*engine) < bound ? engine : nullptr;
}

/// Time of one additional request, relative to an idle engine at normal speed. Requests beyond the
/// slots wait for a whole batch.
double relative_turn_time(const Engine& engine) {
  const double requests = engine.in_flight + engine.peer_in_flight + 1;
  return std::max(1.0, requests / engine.record.slots) / engine.speed;
}

/// Whether moving pays off over the line's next turns, including the prefill at the new engine.
bool worth_moving(const Engine& from, const Engine& to, double turn_to_prefill_ratio) {
  const double gain =
      kTurnsAfterMove * turn_to_prefill_ratio * (relative_turn_time(from) - relative_turn_time(to));
  return gain > kMinGainOverPrefill / to.speed;
}

}  // namespace

double mean_load(const std::vector<EnginePointer>& engines) {
  double busy = 0;
  double speeds = 0;
  for (const auto& engine : engines) {
    if (!engine->usable()) continue;
    busy += load_of(*engine) * engine->speed;
    speeds += engine->speed;
  }
  return speeds == 0 ? 0 : busy / speeds;
}

EnginePointer select_engine(const EngineRegistry& registry, const SelectionQuery& query) {
  const auto& engines = registry.of_service(query.service);
  const double mean = mean_load(engines);
  auto sticky = sticky_engine(registry, query, mean);
  const bool slow = sticky != nullptr && sticky->speed <= kSlowSpeed;
  const bool may_move = slow && query.turn_to_prefill_ratio > 0;
  if (sticky != nullptr && !may_move) return sticky;
  const EnginePointer* best = nullptr;
  Rank best_rank{};
  const double saturation = std::max(kSaturationLoad, kSaturationOverMean * mean);
  for (const auto& engine : engines) {
    if (!eligible(query, *engine)) continue;
    if (may_move && !worth_moving(*sticky, *engine, query.turn_to_prefill_ratio)) continue;
    const auto candidate = rank(*engine, query, saturation);
    if (best != nullptr && best_rank < candidate) continue;
    // The hash is needed only for engines of equal rank.
    const bool better = best == nullptr || candidate < best_rank ||
                        tie_break(*engine, query) < tie_break(**best, query);
    if (!better) continue;
    best = &engine;
    best_rank = candidate;
  }
  const bool acceptable = best != nullptr && !best_rank.avoided && !best_rank.saturated;
  if (best == nullptr || (may_move && !acceptable)) return sticky;
  return *best;
}

}  // namespace sailgate::balancing
