/// @file Deliberately broken policies: each must be caught by the oracle, or the proof proves
/// nothing (docs/PROOFS.md).
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/simulated_node.hpp"

namespace sailgate::simulation {

/// One broken policy.
struct Sabotage {
  std::string name;
  std::string promise;      ///< the promise it breaks
  std::string description;  ///< what is left out
  int within_cases = 0;     ///< the fuzzer must catch it within this many cases
  std::function<void(SimulatedPolicies&)> apply;
};

const std::vector<Sabotage>& all_sabotages();
/// @return nullptr when there is none of that name.
const Sabotage* find_sabotage(const std::string& name);

}  // namespace sailgate::simulation
