/// @file Which engines keep each shared prompt.
///
/// Answers programs that begin with one of a few long shared prompts. Placed by the program alone,
/// every engine reads every prompt and its memory cannot keep them beside its running requests;
/// placed at one engine a prompt, the engine of a prompt in demand is overrun.
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

/// Engines of one shared prompt.
struct PromptReplicas {
  using Engines = std::unordered_set<std::string>;

  std::string order_key;  ///< of the rendezvous order in which other engines come next
  Engines engines;        ///< that keep the prompt

  bool hold(const std::string& engine) const { return engines.count(engine) > 0; }
};

/// The number of engines of a prompt changed.
struct ReplicaCountChange {
  std::int32_t prompt = 0;
  int before = 0;  ///< 0: the prompt is new
  int after = 0;   ///< 0: nobody asks for it any more
  std::int32_t requests = 0;
  std::int32_t all_requests = 0;
};

/// Prompts that an engine keeps on average where its memory allows: one copy of a prompt for each
/// zone and a few for the prompts in demand, so that the load of an engine is that of several
/// prompts. @param memory_tokens of an engine, @param prompt_tokens mean of the prompts; 0:
/// unknown.
double prompts_per_engine(std::int64_t memory_tokens, double prompt_tokens);

/// Places of the prompts of one service: a function of the counts, the engines and the numbers of
/// engines before, which settle to within one engine whatever they were. Deterministic, not
/// thread-safe.
class PromptPlacement {
 public:
  /// Takes over what is asked for and which engines there are.
  /// @param counts of the service's prompts, over all nodes.
  std::vector<ReplicaCountChange> update(const PromptCounts& counts,
                                         const std::vector<EnginePointer>& engines,
                                         double prompts_per_engine);

  /// Places of a prompt; one that was not counted yet gets an equal share of the engines.
  const PromptReplicas& replicas(std::int32_t prompt, const std::vector<EnginePointer>& engines);

  std::size_t prompts() const { return engines_wanted_.size(); }
  /// Sum over the prompts.
  std::size_t copies() const;

 private:
  /// Engines of a zone in the order in which they are to keep a prompt.
  struct OrderedZone {
    double first = 0;  ///< in [0, 1): the zone with the least is the first to take a copy
    int wanted = 0;    ///< engines that are to keep the prompt
    std::vector<const std::string*> engines;
  };
  using Order = std::vector<OrderedZone>;
  /// Prompts that were placed so far at each engine.
  using Copies = std::unordered_map<std::string, int>;

  static Order order(const std::string& key, const std::vector<EnginePointer>& engines);
  /// Zones take turns, by their sizes: a prompt with a few engines has some in each zone.
  static void share_out(Order& zones, int wanted);
  /// The first so many engines of the order that keep fewer prompts than the bound.
  static PromptReplicas::Engines take(Order zones, int wanted, int bound, Copies& copies);
  /// Adds engines of a zone that keep fewer than `most` prompts. @return whether these are enough.
  static bool take_of_zone(const OrderedZone& zone, int most, Copies& copies,
                           PromptReplicas::Engines& taken);
  /// Share of all copies, from the requests that were counted.
  double wanted(std::int32_t requests, std::size_t engines) const;
  int bounded(double wanted, std::size_t engines) const;
  void place_all(const std::vector<EnginePointer>& engines);

  double prompts_an_engine_ = 0;
  std::int32_t all_requests_ = 0;
  std::size_t counted_prompts_ = 0;
  std::size_t engines_ = 0;  ///< usable ones at the last update
  std::uint64_t engines_digest_ = 0;
  std::map<std::int32_t, int> engines_wanted_;  ///< of each prompt that was counted
  std::map<std::int32_t, PromptReplicas> places_;
};

}  // namespace sailgate::balancing
