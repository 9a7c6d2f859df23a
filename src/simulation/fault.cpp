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
      FaultKind::kNothing,           FaultKind::kKillNode,         FaultKind::kKillZone,
      FaultKind::kRestartNodes,      FaultKind::kFreezeNode,       FaultKind::kThawNodes,
      FaultKind::kCutZone,           FaultKind::kCutOneWay,        FaultKind::kHealLinks,
      FaultKind::kDisturbNetwork,    FaultKind::kTableDown,        FaultKind::kTableSlow,
      FaultKind::kTableLosesAnswers, FaultKind::kTableUp,          FaultKind::kDisturbBackends,
      FaultKind::kDriftClock,        FaultKind::kStopNode,         FaultKind::kBackendLeaves,
      FaultKind::kRollConfiguration, FaultKind::kRollConfiguration};
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
    case FaultKind::kCutZone:
      return "cut zone";
    case FaultKind::kCutOneWay:
      return "cut one way";
    case FaultKind::kHealLinks:
      return "heal links";
    case FaultKind::kDisturbNetwork:
      return "disturb network";
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
  if (fault.kind == FaultKind::kCutOneWay) out << " -> " << fault.other;
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
    case FaultKind::kCutZone:
      cluster.cut_zone(fault.target);
      break;
    case FaultKind::kCutOneWay:
      cluster.cut_one_way(fault.target, fault.other);
      break;
    case FaultKind::kHealLinks:
      cluster.heal_links();
      break;
    case FaultKind::kDisturbNetwork:
      cluster.disturb_network(true);
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
