#include "balancing/prompt_placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>

#include "balancing/rendezvous.hpp"

namespace sailgate::balancing {

namespace {

/// Upper limit of the mean number of prompts cached per engine; see prompts_per_engine().
constexpr double kMaxPromptsPerEngine = 3.0;
/// Share of an engine's memory for shared prompts. The rest is for the lines that run there.
constexpr double kPromptMemoryShare = 0.5;
/// With two engines per prompt, the loss of one leaves a cached copy.
constexpr int kMinEngines = 2;
/// Added to the request count of each prompt (additive smoothing): without data all prompts get
/// equal shares, and a handful of requests does not change that.
constexpr double kPriorRequests = 4;
/// Number of prompts assumed before any are known.
constexpr std::size_t kPriorPrompts = 8;
/// Hysteresis: the number of engines is kept while the target differs by less than this. Counts
/// vary from second to second, and each change moves some programs.
constexpr double kHysteresisEngines = 1.0;
/// Beyond the hysteresis the number changes by one engine at a time, so that nodes whose data
/// differ by one update differ by at most one engine. It jumps to the target only if demand has
/// clearly changed, by this many engines and by this share of the target. A count of 100 requests
/// has a standard deviation of a tenth.
constexpr double kJumpEngines = 3.0;
constexpr double kJumpShare = 1.0 / 3;
/// Limit on the prompts of one engine, as a multiple of the mean, as long as other engines have
/// fewer. With the rendezvous order alone some engines would have three times the load of others.
constexpr double kMaxCopiesOverMean = 1.25;
/// Limit of prompts placed by update(). Less frequent ones are placed on request.
constexpr std::size_t kMaxPlacedPrompts = 64;

std::string order_key(std::int32_t prompt) { return "prompt/" + std::to_string(prompt); }

std::uint64_t digest(const std::vector<EnginePointer>& engines) {
  std::uint64_t sum = 0;
  for (const auto& engine : engines) {
    const auto& id = engine->record.id;
    if (engine->usable()) sum += XXH64(id.data(), id.size(), 1);
  }
  return sum;
}

std::size_t count_usable(const std::vector<EnginePointer>& engines) {
  return static_cast<std::size_t>(std::count_if(
      engines.begin(), engines.end(), [](const auto& engine) { return engine->usable(); }));
}

/// The most frequent prompts, at most kMaxPlacedPrompts.
PromptCounts most_frequent(const PromptCounts& counts) {
  if (counts.size() <= kMaxPlacedPrompts) return counts;
  std::vector<std::pair<std::int32_t, std::int32_t>> by_requests;
  for (const auto& [key, requests] : counts) by_requests.emplace_back(requests, key);
  std::sort(by_requests.rbegin(), by_requests.rend());
  by_requests.resize(kMaxPlacedPrompts);
  PromptCounts kept;
  for (const auto& [requests, key] : by_requests) kept[key] = requests;
  return kept;
}

/// The same share of the current engines.
int scaled_count(int count, std::size_t engines_before, std::size_t engines) {
  if (engines_before == engines || engines_before == 0) return count;
  const double share = static_cast<double>(count) / static_cast<double>(engines_before);
  return static_cast<int>(std::lround(share * static_cast<double>(engines)));
}

/// Next number of engines of a prompt.
/// @param before 0: the prompt is new.
double next_engine_count(int before, double wanted) {
  const double gap = wanted - before;
  if (before == 0) return wanted;
  if (std::abs(gap) < kHysteresisEngines) return before;
  if (std::abs(gap) >= std::max(kJumpEngines, kJumpShare * wanted)) return wanted;
  return gap > 0 ? before + 1 : before - 1;
}

}  // namespace

PromptPlacement::Order PromptPlacement::order(const std::string& key,
                                              const std::vector<EnginePointer>& engines) {
  std::map<std::string, std::vector<std::pair<double, const std::string*>>> draws;
  for (const auto& engine : engines) {
    if (!engine->usable()) continue;
    const auto& record = engine->record;
    draws[record.zone].emplace_back(rendezvous_draw(key, record.id), &record.id);
  }
  Order zones;
  for (auto& [name, drawn] : draws) {
    std::sort(drawn.begin(), drawn.end());
    OrderedZone zone;
    zone.first = rendezvous_draw(key, name);
    for (const auto& [draw, id] : drawn) zone.engines.push_back(id);
    zones.push_back(std::move(zone));
  }
  return zones;
}

void PromptPlacement::distribute_over_zones(Order& zones, int wanted) {
  const auto turn = [](const OrderedZone& zone) {
    return (zone.wanted + zone.first) / static_cast<double>(zone.engines.size());
  };
  for (int taken = 0; taken < wanted; ++taken) {
    OrderedZone* next = nullptr;
    for (auto& zone : zones) {
      if (zone.wanted == static_cast<int>(zone.engines.size())) continue;
      if (next == nullptr || turn(zone) < turn(*next)) next = &zone;
    }
    if (next == nullptr) return;
    ++next->wanted;
  }
}

PromptReplicas::Engines PromptPlacement::assign(Order zones, int wanted, int bound,
                                                Copies& copies) {
  distribute_over_zones(zones, wanted);
  PromptReplicas::Engines taken;
  for (const auto& zone : zones) {
    // The limit is raised if too few engines are below it.
    int limit = bound;
    while (!assign_in_zone(zone, limit, copies, taken)) ++limit;
  }
  return taken;
}

bool PromptPlacement::assign_in_zone(const OrderedZone& zone, int limit, Copies& copies,
                                     PromptReplicas::Engines& taken) {
  const auto holds = [&](const std::string* id) { return taken.count(*id) > 0; };
  const auto held = std::count_if(zone.engines.begin(), zone.engines.end(), holds);
  auto left = zone.wanted - static_cast<int>(held);
  for (const auto* id : zone.engines) {
    if (left <= 0) return true;
    if (holds(id) || copies[*id] >= limit) continue;
    ++copies[*id];
    taken.insert(*id);
    --left;
  }
  return left <= 0;
}

double prompts_per_engine(std::int64_t memory_tokens, double prompt_tokens) {
  if (memory_tokens <= 0 || prompt_tokens <= 0) return kMaxPromptsPerEngine;
  const double room = kPromptMemoryShare * static_cast<double>(memory_tokens) / prompt_tokens;
  return std::clamp(room, 1.0, kMaxPromptsPerEngine);
}

std::size_t PromptPlacement::copies() const {
  std::size_t sum = 0;
  for (const auto& [key, engines] : engine_counts_) sum += static_cast<std::size_t>(engines);
  return sum;
}

double PromptPlacement::wanted(std::int32_t requests, std::size_t engines) const {
  const auto prompts = static_cast<double>(std::max(counted_prompts_, kPriorPrompts));
  const double share = (requests + kPriorRequests) / (all_requests_ + kPriorRequests * prompts);
  return prompts_an_engine_ * static_cast<double>(engines) * share;
}

int PromptPlacement::bounded(double wanted, std::size_t engines) const {
  const auto limit = std::max(static_cast<int>(engines), 1);
  return std::clamp(static_cast<int>(std::lround(wanted)), std::min(kMinEngines, limit), limit);
}

std::vector<ReplicaCountChange> PromptPlacement::update(const PromptCounts& counts,
                                                        const std::vector<EnginePointer>& engines,
                                                        double prompts_per_engine) {
  const auto counted = most_frequent(counts);
  const auto usable = count_usable(engines);
  prompts_an_engine_ = prompts_per_engine;
  counted_prompts_ = counted.size();
  all_requests_ = 0;
  for (const auto& [key, requests] : counted) all_requests_ += requests;
  std::vector<ReplicaCountChange> changes;
  std::map<std::int32_t, int> new_counts;
  for (const auto& [key, requests] : counted) {
    const auto known = engine_counts_.find(key);
    const int before = known == engine_counts_.end() ? 0 : known->second;
    const int scaled = scaled_count(before, engines_, usable);
    const int after = bounded(next_engine_count(scaled, wanted(requests, usable)), usable);
    new_counts[key] = after;
    if (after != before) changes.push_back({key, before, after, requests, all_requests_});
  }
  for (const auto& [key, before] : engine_counts_) {
    if (new_counts.count(key) == 0) changes.push_back({key, before, 0, 0, all_requests_});
  }
  const auto engines_now = digest(engines);
  const bool same = changes.empty() && engines_now == engines_digest_;
  engine_counts_ = std::move(new_counts);
  engines_digest_ = engines_now;
  engines_ = usable;
  outdated_ = outdated_ || !same;
  return changes;
}

void PromptPlacement::rebuild(const std::vector<EnginePointer>& engines) {
  outdated_ = false;
  ++rebuilds_;
  replicas_.clear();
  const auto usable = std::max<std::size_t>(count_usable(engines), 1);
  const double mean = static_cast<double>(copies()) / static_cast<double>(usable);
  const int bound = std::max(static_cast<int>(kMaxCopiesOverMean * mean), 1);
  Copies taken;
  for (const auto& [key, count] : engine_counts_) {
    auto& replicas = replicas_[key];
    replicas.order_key = order_key(key);
    replicas.engines = assign(order(replicas.order_key, engines), count, bound, taken);
  }
}

const PromptReplicas& PromptPlacement::replicas(std::int32_t prompt,
                                                const std::vector<EnginePointer>& engines) {
  if (outdated_) rebuild(engines);
  const auto known = replicas_.find(prompt);
  if (known != replicas_.end()) return known->second;
  if (replicas_.size() >= 2 * kMaxPlacedPrompts) rebuild(engines);
  auto& replicas = replicas_[prompt];
  const auto usable = count_usable(engines);
  const int count = bounded(wanted(0, usable), usable);
  replicas.order_key = order_key(prompt);
  Copies copies;
  replicas.engines = assign(order(replicas.order_key, engines), count, 1, copies);
  return replicas;
}

}  // namespace sailgate::balancing
