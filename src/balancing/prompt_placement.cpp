#include "balancing/prompt_placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>

#include "balancing/rendezvous.hpp"

namespace sailgate::balancing {

namespace {

/// Prompts an engine keeps on average; see prompts_per_engine().
constexpr double kMostPromptsAnEngine = 3.0;
/// Share of an engine's memory for shared prompts: the rest is for the lines that run there.
constexpr double kMemoryForPrompts = 0.5;
/// The loss of one engine leaves one that keeps the prompt.
constexpr int kLeastEngines = 2;
/// A prompt counts as if so many requests more had asked for it: before anything is known all get
/// an equal share, and a handful of requests does not outweigh that.
constexpr double kAssumedRequests = 4;
/// Prompts that are assumed to be there before any is known.
constexpr std::size_t kAssumedPrompts = 8;
/// A prompt's number of engines stays while what is wanted is within this of it: counts vary from
/// one second to the next, and each change moves some programs.
constexpr double kEnginesOfSlack = 1.0;
/// Beyond that it changes by one engine at a time, so that nodes whose news differ by one update
/// differ by one engine. Unless demand has clearly changed: by so many engines, and by such a part
/// of what is wanted. A prompt counted 100 times varies by a tenth.
constexpr double kEnginesOfChange = 3.0;
constexpr double kShareOfChange = 1.0 / 3;
/// An engine keeps at most so many times the mean number of prompts, as long as others keep fewer:
/// by the rendezvous order alone some would have three times the work of others.
constexpr double kCopiesOverMean = 1.25;
/// Prompts placed; those asked for less often are placed when they are asked for.
constexpr std::size_t kMostPrompts = 64;

std::string order_key(std::int32_t prompt) { return "prompt/" + std::to_string(prompt); }

std::uint64_t digest(const std::vector<EnginePointer>& engines) {
  std::uint64_t sum = 0;
  for (const auto& engine : engines) {
    const auto& id = engine->record.id;
    if (engine->usable()) sum += XXH64(id.data(), id.size(), 1);
  }
  return sum;
}

std::size_t usable_engines(const std::vector<EnginePointer>& engines) {
  return static_cast<std::size_t>(std::count_if(
      engines.begin(), engines.end(), [](const auto& engine) { return engine->usable(); }));
}

/// The prompts asked for most often.
PromptCounts most_frequent(const PromptCounts& counts) {
  if (counts.size() <= kMostPrompts) return counts;
  std::vector<std::pair<std::int32_t, std::int32_t>> by_requests;
  for (const auto& [key, requests] : counts) by_requests.emplace_back(requests, key);
  std::sort(by_requests.rbegin(), by_requests.rend());
  by_requests.resize(kMostPrompts);
  PromptCounts kept;
  for (const auto& [requests, key] : by_requests) kept[key] = requests;
  return kept;
}

/// The same part of the engines that are there now.
int scaled_to(int count, std::size_t engines_before, std::size_t engines) {
  if (engines_before == engines || engines_before == 0) return count;
  const double part = static_cast<double>(count) / static_cast<double>(engines_before);
  return static_cast<int>(std::lround(part * static_cast<double>(engines)));
}

/// Number of engines to go on with. @param before 0: the prompt is new.
double next_number(int before, double wanted) {
  const double gap = wanted - before;
  if (before == 0) return wanted;
  if (std::abs(gap) < kEnginesOfSlack) return before;
  if (std::abs(gap) >= std::max(kEnginesOfChange, kShareOfChange * wanted)) return wanted;
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

void PromptPlacement::share_out(Order& zones, int wanted) {
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

PromptReplicas::Engines PromptPlacement::take(Order zones, int wanted, int bound, Copies& copies) {
  share_out(zones, wanted);
  PromptReplicas::Engines taken;
  for (const auto& zone : zones) {
    // Where too few are below the bound it is raised.
    int most = bound;
    while (!take_of_zone(zone, most, copies, taken)) ++most;
  }
  return taken;
}

bool PromptPlacement::take_of_zone(const OrderedZone& zone, int most, Copies& copies,
                                   PromptReplicas::Engines& taken) {
  const auto holds = [&](const std::string* id) { return taken.count(*id) > 0; };
  const auto held = std::count_if(zone.engines.begin(), zone.engines.end(), holds);
  auto left = zone.wanted - static_cast<int>(held);
  for (const auto* id : zone.engines) {
    if (left <= 0) return true;
    if (holds(id) || copies[*id] >= most) continue;
    ++copies[*id];
    taken.insert(*id);
    --left;
  }
  return left <= 0;
}

double prompts_per_engine(std::int64_t memory_tokens, double prompt_tokens) {
  if (memory_tokens <= 0 || prompt_tokens <= 0) return kMostPromptsAnEngine;
  const double room = kMemoryForPrompts * static_cast<double>(memory_tokens) / prompt_tokens;
  return std::clamp(room, 1.0, kMostPromptsAnEngine);
}

std::size_t PromptPlacement::copies() const {
  std::size_t sum = 0;
  for (const auto& [key, engines] : engines_wanted_) sum += static_cast<std::size_t>(engines);
  return sum;
}

double PromptPlacement::wanted(std::int32_t requests, std::size_t engines) const {
  const auto prompts = static_cast<double>(std::max(counted_prompts_, kAssumedPrompts));
  const double share = (requests + kAssumedRequests) / (all_requests_ + kAssumedRequests * prompts);
  return prompts_an_engine_ * static_cast<double>(engines) * share;
}

int PromptPlacement::bounded(double wanted, std::size_t engines) const {
  const auto most = std::max(static_cast<int>(engines), 1);
  return std::clamp(static_cast<int>(std::lround(wanted)), std::min(kLeastEngines, most), most);
}

std::vector<ReplicaCountChange> PromptPlacement::update(const PromptCounts& counts,
                                                        const std::vector<EnginePointer>& engines,
                                                        double prompts_per_engine) {
  const auto counted = most_frequent(counts);
  const auto usable = usable_engines(engines);
  prompts_an_engine_ = prompts_per_engine;
  counted_prompts_ = counted.size();
  all_requests_ = 0;
  for (const auto& [key, requests] : counted) all_requests_ += requests;
  std::vector<ReplicaCountChange> changes;
  std::map<std::int32_t, int> now_wanted;
  for (const auto& [key, requests] : counted) {
    const auto known = engines_wanted_.find(key);
    const int before = known == engines_wanted_.end() ? 0 : known->second;
    const int scaled = scaled_to(before, engines_, usable);
    const int after = bounded(next_number(scaled, wanted(requests, usable)), usable);
    now_wanted[key] = after;
    if (after != before) changes.push_back({key, before, after, requests, all_requests_});
  }
  for (const auto& [key, before] : engines_wanted_) {
    if (now_wanted.count(key) == 0) changes.push_back({key, before, 0, 0, all_requests_});
  }
  const auto engines_now = digest(engines);
  const bool same = changes.empty() && engines_now == engines_digest_;
  engines_wanted_ = std::move(now_wanted);
  engines_digest_ = engines_now;
  engines_ = usable;
  if (!same) place_all(engines);
  return changes;
}

void PromptPlacement::place_all(const std::vector<EnginePointer>& engines) {
  places_.clear();
  const auto usable = std::max<std::size_t>(usable_engines(engines), 1);
  const double mean = static_cast<double>(copies()) / static_cast<double>(usable);
  const int bound = std::max(static_cast<int>(kCopiesOverMean * mean), 1);
  Copies taken;
  for (const auto& [key, count] : engines_wanted_) {
    auto& replicas = places_[key];
    replicas.order_key = order_key(key);
    replicas.engines = take(order(replicas.order_key, engines), count, bound, taken);
  }
}

const PromptReplicas& PromptPlacement::replicas(std::int32_t prompt,
                                                const std::vector<EnginePointer>& engines) {
  const auto known = places_.find(prompt);
  if (known != places_.end()) return known->second;
  if (places_.size() >= 2 * kMostPrompts) place_all(engines);
  auto& replicas = places_[prompt];
  const auto usable = usable_engines(engines);
  const int count = bounded(wanted(0, usable), usable);
  replicas.order_key = order_key(prompt);
  Copies copies;
  replicas.engines = take(order(replicas.order_key, engines), count, 1, copies);
  return replicas;
}

}  // namespace sailgate::balancing
