#include "simulation/fault.hpp"

#include <ostream>

namespace sailgate::simulation {
namespace {

/// Drift within what the lease allows for, in parts per thousand.
constexpr int kFastClock = 40;
constexpr int kSlowClock = -40;

}  // namespace

const std::vector<FaultKind>& all_fault_kinds() {
  static const std::vector<FaultKind> kinds{
      FaultKind::kNothing,         FaultKind::kKillNode,          FaultKind::kKillZone,
      FaultKind::kKillAll,         FaultKind::kRestartNodes,      FaultKind::kRestartNodes,
      FaultKind::kFreezeNode,      FaultKind::kThawNodes,         FaultKind::kRefuseNode,
      FaultKind::kCutZone,         FaultKind::kHealLinks,         FaultKind::kTableDown,
      FaultKind::kTableRefuses,    FaultKind::kTableSlow,         FaultKind::kTableLosesAnswers,
      FaultKind::kTableLate,       FaultKind::kTableUp,           FaultKind::kTableUp,
      FaultKind::kDisturbBackends, FaultKind::kDriftClock,        FaultKind::kStopNode,
      FaultKind::kBackendLeaves,   FaultKind::kRollConfiguration, FaultKind::kRollConfiguration};
  return kinds;
}

std::string name_of(FaultKind kind) {
  switch (kind) {
    case FaultKind::kNothing:
      return "nothing";
    case FaultKind::kKillNode:
      return "kill node";
    case FaultKind::kKillZone:
      return "kill zone";
    case FaultKind::kRestartNodes:
      return "restart nodes";
    case FaultKind::kFreezeNode:
      return "freeze node";
    case FaultKind::kThawNodes:
      return "thaw nodes";
    case FaultKind::kKillAll:
      return "kill all";
    case FaultKind::kRefuseNode:
      return "refuse node";
    case FaultKind::kCutZone:
      return "cut zone";
    case FaultKind::kHealLinks:
      return "heal links";
    case FaultKind::kTableRefuses:
      return "table refuses";
    case FaultKind::kTableLate:
      return "table late";
    case FaultKind::kTableDown:
      return "table down";
    case FaultKind::kTableSlow:
      return "table slow";
    case FaultKind::kTableLosesAnswers:
      return "table loses answers";
    case FaultKind::kTableUp:
      return "table up";
    case FaultKind::kDisturbBackends:
      return "disturb back ends";
    case FaultKind::kDriftClock:
      return "drift clock";
    case FaultKind::kStopNode:
      return "stop node";
    case FaultKind::kBackendLeaves:
      return "back end leaves";
    case FaultKind::kRollConfiguration:
      return "roll configuration";
  }
  return "?";
}

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  out << name_of(fault.kind) << " " << fault.target;
  return out << ", then " << fault.then_wait << " ms";
}

void apply_fault(const Fault& fault, SimulatedCluster& cluster) {
  switch (fault.kind) {
    case FaultKind::kNothing:
      break;
    case FaultKind::kKillNode:
      cluster.kill_node(fault.target);
      break;
    case FaultKind::kKillZone:
      cluster.kill_zone(fault.target);
      break;
    case FaultKind::kRestartNodes:
      cluster.restart_dead_nodes();
      break;
    case FaultKind::kFreezeNode:
      cluster.freeze_node(fault.target);
      break;
    case FaultKind::kThawNodes:
      cluster.thaw_nodes();
      break;
    case FaultKind::kKillAll:
      cluster.kill_all();
      break;
    case FaultKind::kRefuseNode:
      cluster.refuse_node(fault.target);
      break;
    case FaultKind::kCutZone:
      cluster.cut_zone(fault.target);
      break;
    case FaultKind::kHealLinks:
      cluster.heal_links();
      break;
    case FaultKind::kTableRefuses:
      cluster.set_table_mode(TableMode::kRefuses);
      break;
    case FaultKind::kTableLate:
      cluster.set_table_mode(TableMode::kLate);
      break;
    case FaultKind::kTableDown:
      cluster.set_table_mode(TableMode::kDown);
      break;
    case FaultKind::kTableSlow:
      cluster.set_table_mode(TableMode::kSlow);
      break;
    case FaultKind::kTableLosesAnswers:
      cluster.set_table_mode(TableMode::kLosesAnswers);
      break;
    case FaultKind::kTableUp:
      cluster.set_table_mode(TableMode::kUp);
      break;
    case FaultKind::kDisturbBackends:
      cluster.disturb_backends(true);
      break;
    case FaultKind::kDriftClock:
      cluster.set_drift(fault.target, fault.other % 2 == 0 ? kFastClock : kSlowClock);
      break;
    case FaultKind::kStopNode:
      cluster.stop_node(fault.target);
      break;
    case FaultKind::kBackendLeaves:
      cluster.backend_leaves(fault.target);
      break;
    case FaultKind::kRollConfiguration:
      cluster.roll_configuration(fault.target, fault.other % 3 == 0);
      break;
  }
  cluster.run_for(fault.then_wait);
}

}  // namespace sailgate::simulation
