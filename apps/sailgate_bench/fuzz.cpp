#include "fuzz.hpp"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>

#include "cli/command_line.hpp"
#include "simulation/fault.hpp"
#include "simulation/sabotage.hpp"
#include "simulation/simulated_cluster.hpp"

namespace sailgate::bench {
namespace {

using simulation::ClusterShape;
using simulation::Fault;
using simulation::FaultKind;
using simulation::SimulatedCluster;

constexpr base::Millis kLongestWait = 4000;
constexpr base::Millis kCallerSpan = 15'000;
constexpr int kLongestSchedule = 40;

/// The model side: nothing to predict, the oracle inside the cluster does the judging.
struct FuzzModel {
  int faults = 0;
};

/// One fault as a RapidCheck command.
class FaultCommand : public rc::state::Command<FuzzModel, SimulatedCluster> {
 public:
  FaultCommand() {
    fault_.kind = *rc::gen::elementOf(simulation::all_fault_kinds());
    fault_.target = *rc::gen::inRange<std::size_t>(0, 12);
    fault_.other = *rc::gen::inRange<std::size_t>(0, 12);
    fault_.then_wait = *rc::gen::inRange<base::Millis>(0, kLongestWait);
  }

  void apply(FuzzModel& model) const override { ++model.faults; }

  void run(const FuzzModel& /*model*/, SimulatedCluster& cluster) const override {
    simulation::apply_fault(fault_, cluster);
    check(cluster);
  }

  void show(std::ostream& out) const override { out << fault_; }

  static void check(const SimulatedCluster& cluster) {
    const auto& violations = cluster.oracle().violations();
    if (!violations.empty()) RC_FAIL(violations.front());
  }

 private:
  Fault fault_;
};

/// One case: a cluster from a seed, a schedule of faults, everything healed, the oracle's verdict.
void run_case(const simulation::SimulatedPolicies& policies, int& cases) {
  ++cases;
  const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
  RC_TAG(seed);
  SimulatedCluster cluster(ClusterShape{}, seed, policies);
  cluster.start();
  cluster.start_callers(kCallerSpan);
  rc::state::check(FuzzModel{}, cluster, rc::state::gen::execOneOfWithArgs<FaultCommand>());
  cluster.heal_and_finish();
  FaultCommand::check(cluster);
}

}  // namespace

FuzzReport fuzz(const FuzzOptions& options) {
  simulation::SimulatedPolicies policies;
  if (!options.sabotage.empty()) simulation::find_sabotage(options.sabotage)->apply(policies);
  FuzzReport report;
  int cases = 0;
  rc::detail::TestParams params;
  params.seed = options.seed;
  params.maxSuccess = options.cases;
  params.maxSize = kLongestSchedule;
  params.disableShrinking = !options.shrink;
  rc::detail::TestMetadata metadata;
  if (options.announce) metadata.id = "fuzz";
  bool failed = false;
  int cases_to_failure = 0;
  const auto property = [&] {
    try {
      run_case(policies, cases);
    } catch (const rc::detail::CaseResult&) {
      if (!failed) cases_to_failure = cases;
      failed = true;
      throw;
    }
  };
  // RapidCheck reads the string of a case to repeat from its environment variable only.
  if (!options.reproduce.empty()) {
    setenv("RC_PARAMS", ("reproduce=" + options.reproduce).c_str(), 1);
  }
  const auto result = options.reproduce.empty()
                          ? rc::detail::checkTestable(property, metadata, params)
                          : rc::detail::checkTestable(property, metadata);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  report.held = result.template is<rc::detail::SuccessResult>();
  report.cases = report.held ? cases : cases_to_failure;
  report.description = text.str();
  return report;
}

int run_fuzz(const FuzzOptions& options) {
  if (!options.sabotage.empty() && simulation::find_sabotage(options.sabotage) == nullptr) {
    std::cerr << "sailgate-bench: no sabotage '" << options.sabotage << "'\n";
    return cli::kBadUsage;
  }
  const auto started = std::chrono::steady_clock::now();
  const auto report = fuzz(options);
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - started;
  if (!report.held) std::cout << report.description << "\n";
  std::cout << "fuzz: seed " << options.seed << ", " << report.cases << " cases, "
            << (report.held ? "no violation" : "VIOLATION") << ", " << taken.count() << " s\n";
  return report.held ? cli::kSuccess : cli::kFailure;
}

int list_sabotages() {
  for (const auto& sabotage : simulation::all_sabotages()) {
    std::cout << sabotage.name << " (" << sabotage.promise << "): " << sabotage.description
              << "; caught within " << sabotage.within_cases << " cases\n";
  }
  return cli::kSuccess;
}

}  // namespace sailgate::bench
