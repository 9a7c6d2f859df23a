/// @file Which engine serves a request.
#pragma once

#include <string>
#include <vector>

#include "balancing/engine_registry.hpp"
#include "balancing/prompt_placement.hpp"

namespace sailgate::balancing {

/// What the choice depends on.
struct SelectionQuery {
  std::string service;
  std::string line_engine;  ///< has the whole prompt cached but for the new input; empty: none
  /// Usual time of a turn over that in which its prompt is read anew; 0: lines stay, however slow.
  double turn_to_prefill_ratio = 0;
  std::string affinity_key;  ///< requests with the same key share long prompts; empty: none
  const PromptReplicas* prompt = nullptr;  ///< engines that keep the first part; nullptr: not known
  std::string zone;                        ///< of this node
  net::TimePoint now;
  std::uint64_t draw = 0;             ///< random tie-break
  std::vector<std::string> excluded;  ///< engines this request was already offered to
};

/// Mean over the usable engines of requests in flight per slot of the usual speed, those of other
/// nodes among them: a slot at half the speed counts for half.
double mean_load(const std::vector<EnginePointer>& engines);

/// Pure decision over the registry's state: no clock, no randomness of its own.
///
/// The engine of the line's last turn is kept as long as it is usable, not avoided and not much
/// busier than the others, nor so slow that the line's next turns gain more elsewhere than its
/// prompt costs to read anew. Else engines are ranked by, in order: not avoided, load below
/// saturation, then cost. Cost sums the share of slots that are busy, a charge for another zone and
/// one for a new connection. With an affinity key the distance from the top of the key's rendezvous
/// order takes the place of slots and connections, so that all nodes agree on a key's engine
/// without talking to each other. Where the engines that keep the first part of the prompt are
/// known, these come first: those of this zone, then the others, each by the key's order and its
/// load; then the next in the order of that first part.
///
/// @return nullptr when no usable engine is left.
EnginePointer select_engine(const EngineRegistry& registry, const SelectionQuery& query);

}  // namespace sailgate::balancing
