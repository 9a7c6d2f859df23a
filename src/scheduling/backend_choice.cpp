#include "scheduling/backend_choice.hpp"

#include <algorithm>

namespace sailgate::scheduling {
namespace {

/// Score bonuses. A bonus of 1 outweighs one additional running attempt.
constexpr double kPrefixBonus = 4.0;
constexpr double kSameZoneBonus = 0.5;

double score(const CallContext& call, const BackendState& state) {
  const auto& engines = call.engines_with_prefix;
  const bool cached = !engines.empty() && engines.back() == state.backend.id;
  const double load = std::max(state.outstanding, state.reported_load);
  double total = -load;
  if (cached) total += kPrefixBonus;
  if (state.backend.zone == call.zone) total += kSameZoneBonus;
  return total;
}

}  // namespace

bool BackendChooser::feasible(const CallContext& call, const BackendState& state) const {
  const auto& backend = state.backend;
  return !state.leaving && backend.kind == call.target_kind &&
         backend.targets.count(call.target) > 0;
}

BackendChoice BackendChooser::choose(const CallContext& call,
                                     const BackendDirectory& directory) const {
  const BackendState* best = nullptr;
  bool any_feasible = false;
  for (const auto& [id, state] : directory.backends()) {
    if (!feasible(call, state)) continue;
    any_feasible = true;
    if (state.outstanding >= state.backend.capacity) continue;
    if (best == nullptr || score(call, state) > score(call, *best)) best = &state;
  }
  if (best != nullptr) return {best->backend.id, wire::ErrorKind::kNone};
  return {{}, any_feasible ? wire::ErrorKind::kOverloaded : wire::ErrorKind::kNoFeasibleBackend};
}

}  // namespace sailgate::scheduling
