#include "balancing/engine_selector.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "balancing/rendezvous.hpp"

namespace sailgate::balancing {

namespace {

/// Cost of a round trip to another zone, in slots' shares.
constexpr double kOtherZoneCost = 0.5;
/// Cost between the first and the last place of a rendezvous order.
constexpr double kAffinityCost = 2.0;
/// Cost of a new connection: half of an engine's slots may be busier there before a node goes where
/// it has none. It makes each node keep to a few engines, other nodes to others. At 0.15, less than
/// one request of six slots, loads heard late moved nodes on all the time: 295 nodes before 153
/// engines opened a connection for one send in five.
constexpr double kConnectCost = 0.5;
/// Cost between the first and the last place of a program's order among the engines that keep the
/// first part of its prompt, in slots' shares. Any of them has that part, so a less busy one is
/// worth more than the one that other nodes would take; the order keeps nodes that hear of loads
/// late from all choosing the same.
constexpr double kPlacedCost = 0.5;
/// Engines that lack the first part come after all that keep it and may still be used: reading it
/// takes longer than the wait for a slot.
constexpr double kAbsentCost = 4.0;
/// Bounded loads: an engine beyond both bounds is only used when all are beyond them. The first is
/// a share of its slots at the usual speed, the second a multiple of the service's mean load.
constexpr double kSaturation = 0.85;
constexpr double kSaturationOverMean = 1.25;

/// A line stays at its engine up to these two bounds: all slots taken, and a multiple of the mean
/// load. Beyond them a turn waits longer than its prompt takes to be read elsewhere.
constexpr double kStayLoad = 1.0;
constexpr double kStayOverMean = 1.5;

/// Turns by which a line's gain from a faster engine is reckoned: the one at hand and one more.
/// Programs hold several, but nobody knows how many are left.
constexpr double kTurnsLeft = 2;
/// The gain must be this multiple of the reading anew: speeds are known to some 15 in 100, and a
/// move for nothing costs the engines what it was to save.
constexpr double kGainOverReading = 2;

/// Lines look for a faster engine where theirs has turned this slow. Engines that are slower
/// for good get fewer programs instead: at half the speed a program with its pauses and ways takes
/// some 1.4 times its time, which callers allow, and lines that leave press into the memory of the
/// faster engines. At 0.75, where a quarter of the engines has half the usual speed, the busiest
/// engine went from 1.28 to 2.08 of the mean and late programs from 1 to 6 of 2,270 (84 nodes, one
/// run each).
constexpr double kTurnedSlow = 0.4;

/// Draw of a rendezvous order in which each engine is first for a share of the keys that follows
/// its speed; at the usual speed the draw itself.
double by_speed(double draw, double speed) {
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

/// Order of engines of the same rank.
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

/// With a key connections don't count: moving a program means reading its prompt anew.
double keyed_cost(const Engine& engine, const SelectionQuery& query) {
  const auto& id = engine.record.id;
  if (query.prompt == nullptr) {
    return kAffinityCost * by_speed(rendezvous_draw(query.affinity_key, id), engine.speed);
  }
  if (query.prompt->hold(id)) {
    const double draw = by_speed(rendezvous_draw(query.affinity_key, id), engine.speed);
    return kPlacedCost * draw + load_of(engine);
  }
  return kAbsentCost + kAffinityCost * rendezvous_draw(query.prompt->order_key, id);
}

Rank rank(const Engine& engine, const SelectionQuery& query, double saturation) {
  const double load = load_of(engine);
  const double zone = engine.record.zone == query.zone ? 0.0 : kOtherZoneCost;
  const double connect = engine.idle_connections > 0 ? 0.0 : kConnectCost;
  const bool keyed = !query.affinity_key.empty();
  const double preference = keyed ? keyed_cost(engine, query) : load + connect;
  return {avoided(engine, query), load >= saturation, preference + zone};
}

bool excluded(const SelectionQuery& query, const Engine& engine) {
  return std::find(query.excluded.begin(), query.excluded.end(), engine.record.id) !=
         query.excluded.end();
}

/// Engine of the line's last turn, if the line should stay there.
EnginePointer engine_to_stay_at(const EngineRegistry& registry, const SelectionQuery& query,
                                double mean) {
  if (query.line_engine.empty()) return nullptr;
  auto engine = registry.find(query.line_engine);
  if (engine == nullptr || engine->record.service != query.service) return nullptr;
  if (!engine->usable() || avoided(*engine, query)) return nullptr;
  if (excluded(query, *engine)) return nullptr;
  const double bound = std::max(kStayLoad, kStayOverMean * mean);
  return load_of(*engine) < bound ? engine : nullptr;
}

/// Time that one more request takes, over that at an idle engine of the usual speed: requests
/// beyond the slots wait for a whole batch.
double turn_time(const Engine& engine) {
  const double requests = engine.in_flight + engine.peer_in_flight + 1;
  return std::max(1.0, requests / engine.record.slots) / engine.speed;
}

/// Whether a line's next turns end sooner at the other engine, its prompt read anew there.
bool worth_moving(const Engine& from, const Engine& to, double turn_to_prefill_ratio) {
  const double gain = kTurnsLeft * turn_to_prefill_ratio * (turn_time(from) - turn_time(to));
  return gain > kGainOverReading / to.speed;
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
  auto stay = engine_to_stay_at(registry, query, mean);
  const bool slow = stay != nullptr && stay->speed <= kTurnedSlow;
  const bool may_move = slow && query.turn_to_prefill_ratio > 0;
  if (stay != nullptr && !may_move) return stay;
  const EnginePointer* best = nullptr;
  Rank best_rank{};
  const double saturation = std::max(kSaturation, kSaturationOverMean * mean);
  for (const auto& engine : engines) {
    if (!engine->usable() || excluded(query, *engine)) continue;
    if (may_move && !worth_moving(*stay, *engine, query.turn_to_prefill_ratio)) continue;
    const auto candidate = rank(*engine, query, saturation);
    if (best != nullptr && best_rank < candidate) continue;
    // Only among equals does the hash of the engine's name matter.
    const bool better = best == nullptr || candidate < best_rank ||
                        tie_break(*engine, query) < tie_break(**best, query);
    if (!better) continue;
    best = &engine;
    best_rank = candidate;
  }
  const bool has_room = best != nullptr && !best_rank.avoided && !best_rank.saturated;
  if (best == nullptr || (may_move && !has_room)) return stay;
  return *best;
}

}  // namespace sailgate::balancing
