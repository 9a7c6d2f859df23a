/// @file Faults as values: what can go wrong in a simulated deployment.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "simulation/simulated_cluster.hpp"

namespace sailgate::simulation {

enum class FaultKind {
  kNothing,   ///< only time passes
  kKillNode,  ///< the process dies, with everything it held
  kKillZone,
  kKillAll,       ///< all power is lost at once
  kRestartNodes,  ///< every dead process starts again, empty
  kFreezeNode,    ///< the process stops running, its clock goes on
  kThawNodes,
  kRefuseNode,  ///< the table service turns one node away
  kCutZone,     ///< a zone cannot reach the table service
  kHealLinks,
  kTableDown,
  kTableRefuses,
  kTableSlow,
  kTableLosesAnswers,
  kTableLate,  ///< writes without an answer that are done seconds later
  kTableUp,
  kDisturbBackends,  ///< answers late or crossed
  kDriftClock,
  kStopNode,  ///< planned stop (SIGTERM)
  kBackendLeaves,
  kRollConfiguration,  ///< an operator rolls a bundle, sometimes both at once
};

/// All kinds, for generators.
const std::vector<FaultKind>& all_fault_kinds();
std::string name_of(FaultKind kind);

/// One fault and the time that passes after it.
struct Fault {
  FaultKind kind = FaultKind::kNothing;
  std::size_t target = 0;  ///< node, zone or back end, modulo their number
  std::size_t other = 0;   ///< variant of some faults
  base::Millis then_wait = 0;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault);

/// Brings the fault about and lets time pass.
void apply_fault(const Fault& fault, SimulatedCluster& cluster);

}  // namespace sailgate::simulation
