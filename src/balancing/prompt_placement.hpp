/// @file Assignment of shared prompts to the engines that cache them.
///
/// Programs begin with one of a few long shared prompts. If programs were distributed regardless of
/// their prompt, every engine would prefill every prompt and could not hold them in memory beside
/// its running requests. With one engine per prompt, the engines of popular prompts would be
/// overloaded.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "balancing/engine_registry.hpp"
#include "balancing/prompt_demand.hpp"

namespace sailgate::balancing {

/// Engines assigned to one shared prompt.
struct PromptReplicas {
  using Engines = std::unordered_set<std::string>;

  std::string order_key;  ///< key of the rendezvous order of the remaining engines
  Engines engines;        ///< engines that cache the prompt

  bool hold(const std::string& engine) const { return engines.count(engine) > 0; }
};

/// A change of a prompt's number of engines.
struct ReplicaCountChange {
  std::int32_t prompt = 0;
  int before = 0;  ///< 0: the prompt is new
  int after = 0;   ///< 0: the prompt is no longer requested
  std::int32_t requests = 0;
  std::int32_t all_requests = 0;
};

/// Mean number of prompts per engine, as far as memory allows: one copy of each prompt per zone and
/// a few more of the popular ones, so that each engine's load comes from several prompts.
/// @param memory_tokens memory of an engine; 0: unknown.
/// @param prompt_tokens mean size of the prompts; 0: unknown.
double prompts_per_engine(std::int64_t memory_tokens, double prompt_tokens);

/// Assigns the prompts of one service to engines. The result depends on the request counts, the
/// engines and the previous numbers of engines; from any starting point the numbers converge to
/// within one engine of each other. Deterministic, not thread-safe.
class PromptPlacement {
 public:
  /// Updates the assignment to the given demand and engines.
  /// @param counts requests per prompt of the service, over all nodes.
  std::vector<ReplicaCountChange> update(const PromptCounts& counts,
                                         const std::vector<EnginePointer>& engines,
                                         double prompts_per_engine);

  /// Engines of a prompt. A prompt without counted requests gets an equal share of the engines.
  const PromptReplicas& replicas(std::int32_t prompt, const std::vector<EnginePointer>& engines);

  std::size_t prompts() const { return engine_counts_.size(); }
  /// Number of assigned (prompt, engine) pairs.
  std::size_t copies() const;
  /// How often the engines of all prompts were determined.
  std::size_t rebuilds() const { return rebuilds_; }

 private:
  /// Engines of a zone in the prompt's rendezvous order.
  struct OrderedZone {
    double first = 0;  ///< in [0, 1): the zone with the lowest value gets the first copy
    int wanted = 0;    ///< number of engines to assign in this zone
    std::vector<const std::string*> engines;
  };
  using Order = std::vector<OrderedZone>;
  /// Number of prompts assigned to each engine so far.
  using Copies = std::unordered_map<std::string, int>;

  static Order order(const std::string& key, const std::vector<EnginePointer>& engines);
  /// Distributes the copies over the zones in proportion to their sizes, so that even a prompt with
  /// few engines has some in each zone.
  static void distribute_over_zones(Order& zones, int wanted);
  /// Assigns the first engines of each zone's order that have fewer prompts than the limit.
  static PromptReplicas::Engines assign(Order zones, int wanted, int bound, Copies& copies);
  /// Assigns engines of a zone that have fewer than `limit` prompts.
  /// @return whether the zone has all its copies.
  static bool assign_in_zone(const OrderedZone& zone, int limit, Copies& copies,
                             PromptReplicas::Engines& taken);
  /// Target number of engines, in proportion to the prompt's share of the requests.
  double wanted(std::int32_t requests, std::size_t engines) const;
  int bounded(double wanted, std::size_t engines) const;
  /// Determines the engines of all prompts. Done only when they are needed: it takes tens of
  /// milliseconds among thousands of engines, and most nodes of a large fleet rarely need them.
  void rebuild(const std::vector<EnginePointer>& engines);

  double prompts_an_engine_ = 0;
  std::int32_t all_requests_ = 0;
  std::size_t counted_prompts_ = 0;
  std::size_t engines_ = 0;  ///< usable engines at the last update
  std::uint64_t engines_digest_ = 0;
  std::map<std::int32_t, int> engine_counts_;  ///< number of engines by prompt
  std::map<std::int32_t, PromptReplicas> replicas_;
  bool outdated_ = false;  ///< replicas_ does not reflect the last update
  std::size_t rebuilds_ = 0;
};

}  // namespace sailgate::balancing
