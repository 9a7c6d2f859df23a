#include "scale.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

#include "cli/command_line.hpp"

namespace sailgate::bench {
namespace {

using simulation::FleetCounts;
using simulation::HollowFleet;
using simulation::TrafficKind;

constexpr base::Millis kStartLimit = 300'000;
constexpr base::Millis kIdleTime = 30'000;
constexpr base::Millis kRepairLimit = 300'000;
constexpr base::Millis kObserve = 500;
constexpr base::Millis kRegionCut = 3'600'000;
constexpr std::size_t kBodyBytes = 512;
constexpr std::size_t kResultBytes = 512;
constexpr double kMillisPerSecond = 1000.0;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

/// Resident memory of this process in megabytes.
double resident_megabytes() {
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) /
         kBytesPerMegabyte;
}

double seconds(const FleetCounts& counts) {
  return static_cast<double>(counts.virtual_time) / kMillisPerSecond;
}

/// Prints what one node did per second of virtual time; received bytes equal sent bytes on average.
void print_rates(const std::string& what, const FleetCounts& counts, std::size_t nodes) {
  const double per_node_second = static_cast<double>(nodes) * seconds(counts);
  std::cout << what << ": per node and second " << std::fixed << std::setprecision(1)
            << static_cast<double>(counts.envelopes) / per_node_second << " envelopes, "
            << static_cast<double>(counts.total_bytes()) / per_node_second << " bytes sent (";
  for (std::size_t i = 0; i < counts.bytes.size(); ++i) {
    std::cout << (i > 0 ? ", " : "") << name_of(static_cast<TrafficKind>(i)) << " "
              << static_cast<double>(counts.bytes.at(i)) / per_node_second;
  }
  std::cout << "), " << std::setprecision(3) << counts.processor_seconds / per_node_second * 100.0
            << " % of a core; table " << std::setprecision(2)
            << static_cast<double>(counts.table_reads + counts.table_writes) / seconds(counts)
            << " requests/s in all" << std::endl;
}

/// Runs until every slot is served and full again; prints how long each took.
void observe_repair(const std::string& what, HollowFleet& fleet, std::size_t programs) {
  const auto start = fleet.now();
  base::Millis served_after = 0;
  std::size_t worst = 0;
  while (fleet.now() - start < kRepairLimit) {
    fleet.run_for(kObserve);
    const auto unserved = fleet.unserved_slots();
    worst = std::max(worst, unserved);
    if (unserved > 0) served_after = fleet.now() - start + kObserve;
    if (unserved == 0 && fleet.short_slots() == 0) break;
  }
  const auto full_after = fleet.now() - start;
  const auto counts = fleet.take_counts();
  std::cout << what << ": at worst " << worst << " of " << fleet.shape().slots
            << " slots without a leader, all served after " << served_after
            << " ms, all full after " << full_after << " ms; programs held "
            << fleet.programs_held() << " of " << programs << "\n";
  print_rates("  during it", counts, fleet.shape().nodes);
}

void run_failures(HollowFleet& fleet, std::size_t programs) {
  fleet.take_counts();
  fleet.kill({fleet.shape().nodes - 1});
  observe_repair("one node killed", fleet, programs);
  fleet.replace({fleet.shape().nodes - 1});
  fleet.run_for(kIdleTime);
  const auto rack = fleet.rack();
  fleet.take_counts();
  fleet.kill(rack);
  observe_repair("rack of " + std::to_string(rack.size()) + " killed", fleet, programs);
  fleet.replace(rack);
  fleet.run_for(kIdleTime);
  const auto zone = fleet.nodes_in_zone(1);
  fleet.take_counts();
  fleet.kill(zone);
  observe_repair("zone of " + std::to_string(zone.size()) + " killed", fleet, programs);
  fleet.replace(zone);
  fleet.run_for(kIdleTime);
}

void run_region_cut(HollowFleet& fleet, std::size_t programs) {
  fleet.take_counts();
  fleet.cut_region(0, true);
  fleet.run_for(kRegionCut / 60);
  std::cout << "region cut for a minute: " << fleet.unserved_slots() << " slots without a leader\n";
  print_rates("  during it", fleet.take_counts(), fleet.shape().nodes);
  fleet.cut_region(0, false);
  observe_repair("region joined again", fleet, programs);
}

}  // namespace

int run_scale(const ScaleOptions& options) {
  const auto& shape = options.shape;
  std::cout << "scale: " << shape.nodes << " nodes in " << shape.zones << " zones, " << shape.slots
            << " slots, " << shape.engines << " engines, heartbeat " << shape.heartbeat
            << " ms, seed " << shape.seed << std::endl;
  const double empty = resident_megabytes();
  HollowFleet fleet(shape);
  const bool formed = fleet.start(kStartLimit);
  std::cout << "formed: " << (formed ? "yes" : "NO") << " after " << fleet.now() << " ms; replicas "
            << "per node " << fleet.mean_replicas() << ", replica peers per node "
            << fleet.mean_peers() << std::endl;
  print_rates("forming", fleet.take_counts(), shape.nodes);
  if (!formed) {
    std::cout << fleet.unserved_slots() << " slots unserved, " << fleet.short_slots() << " short\n";
    return cli::kFailure;
  }
  fleet.run_for(kIdleTime);
  fleet.take_counts();
  fleet.run_for(kIdleTime);
  print_rates("idle", fleet.take_counts(), shape.nodes);
  const double idle_memory = resident_megabytes();
  std::cout << "memory per node: " << std::setprecision(3)
            << (idle_memory - empty) / static_cast<double>(shape.nodes) << " MB" << std::endl;

  const auto opened = fleet.open_programs(options.programs);
  const auto opening = fleet.take_counts();
  const double program_memory = resident_megabytes();
  std::cout << "programs opened: " << opened << " of " << options.programs
            << "; memory per program " << std::setprecision(2)
            << (program_memory - idle_memory) * kBytesPerMegabyte /
                   std::max<double>(1.0, static_cast<double>(opened))
            << " bytes over all replicas; processor "
            << opening.processor_seconds * 1e6 / std::max<double>(1.0, static_cast<double>(opened))
            << " us each" << std::endl;

  const auto per_second = std::max<std::size_t>(1, options.calls / 10);
  const auto ended = fleet.run_calls(options.calls, per_second, kBodyBytes, kResultBytes);
  const auto calls = fleet.take_counts();
  std::cout << "calls ended: " << ended << " of " << options.calls << " at " << per_second
            << "/s\n";
  print_rates("with calls", calls, shape.nodes);
  std::cout << "memory after calls: "
            << (resident_megabytes() - program_memory) * kBytesPerMegabyte /
                   std::max<double>(1.0, static_cast<double>(ended))
            << " bytes per call over all replicas" << std::endl;
  if (options.failures) {
    run_failures(fleet, opened);
    run_region_cut(fleet, opened);
  }
  return cli::kSuccess;
}

}  // namespace sailgate::bench
