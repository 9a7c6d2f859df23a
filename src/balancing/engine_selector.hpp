/// @file Selection of the engine that serves a request.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "balancing/engine_registry.hpp"
#include "balancing/prompt_placement.hpp"

namespace sailgate::balancing {

/// Input of select_engine(). A line is a sequence of turns of a program in which each turn's prompt
/// extends the previous one.
struct SelectionQuery {
  std::string service;
  std::string line_engine;  ///< has the line's prompt cached, except for the new input; empty: none
  /// Typical time of a turn divided by the time to prefill its prompt; 0: unknown, lines never
  /// leave a slow engine.
  double turn_to_prefill_ratio = 0;
  std::string affinity_key;  ///< requests with the same key share long prompts; empty: none
  const PromptReplicas* prompt =
      nullptr;       ///< engines with the shared prompt prefix cached; nullptr: unknown
  std::string zone;  ///< of this node
  net::TimePoint now;
  std::uint64_t draw = 0;                       ///< random value for tie-breaking
  std::optional<std::string> software_version;  ///< required of the engine; nullopt: any
  std::vector<std::string> excluded;            ///< engines that this request was already sent to
};

/// Mean requests in flight per slot over the usable engines, including those of other nodes. Slots
/// are weighted by speed: a slot at half speed counts as half a slot.
double mean_load(const std::vector<EnginePointer>& engines);

/// A pure function of the query and the registry: uses no clock and no random source of its own.
///
/// The line's last engine is kept as long as it is usable, not avoided, not much busier than the
/// others, and not so slow that moving saves more time than the prefill costs. Otherwise engines
/// are ranked lexicographically: not avoided, load below saturation, cost. The cost is the load
/// plus a penalty for another zone and one for a new connection. With an affinity key, the position
/// in the key's rendezvous order replaces load and connection, so that all nodes choose the same
/// engine for a key without coordination. If the engines that have the shared prompt prefix cached
/// are known, they rank first: those of this zone, then the others, each by the key's rendezvous
/// order and its load; the remaining engines follow in the rendezvous order of the prefix.
///
/// @return nullptr if no usable engine is left.
EnginePointer select_engine(const EngineRegistry& registry, const SelectionQuery& query);

}  // namespace sailgate::balancing
