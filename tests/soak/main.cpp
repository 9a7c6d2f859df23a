/// @file sailgate-soak: runs the soak of gateway processes with given seeds.

#include <unistd.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>

#include "soak/soak_run.hpp"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description description("sailgate-soak: gateway processes under faults");
  description.add_options()("help", "print this text")(
      "seed", options::value<std::uint64_t>()->default_value(1), "first seed")(
      "runs", options::value<std::uint64_t>()->default_value(1), "number of seeds")(
      "faults", options::value<int>()->default_value(8), "faults of each run")(
      "nodes", options::value<int>()->default_value(4), "gateway processes")(
      "overlap", "two series of faults, engines and configurations that change meanwhile")(
      "configurations", "checks which configuration nodes go by")(
      "poison", "requests that end the engines that run them")(
      "resumed-turns", "retained turns that break off and are resumed at any node")(
      "stops", options::value<int>()->default_value(0),
      "instead of other faults, planned stops of busy nodes whose callers keep connections")(
      "late-entries", "late entries of engines that have started again under their names")(
      "versions", "engines of two software versions and callers that resume streams")(
      "burst-losses", options::value<int>()->default_value(0),
      "instead of other faults, times that all nodes are killed right after a burst")(
      "hard-load", "also faults that bring load and less capacity together");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  if (values.count("help") > 0) {
    std::cout << description << "Exit codes: 0 no violation, 1 violations\n";
    return 0;
  }
  std::size_t violations = 0;
  for (std::uint64_t run = 0; run < values["runs"].as<std::uint64_t>(); ++run) {
    sailgate::soak::SoakOptions soak;
    soak.seed = values["seed"].as<std::uint64_t>() + run;
    soak.faults = values["faults"].as<int>();
    soak.nodes = values["nodes"].as<int>();
    soak.overlap = values.count("overlap") > 0;
    soak.burst_losses = values["burst-losses"].as<int>();
    soak.configurations = values.count("configurations") > 0;
    soak.poison = values.count("poison") > 0;
    soak.resumed_turns = values.count("resumed-turns") > 0;
    soak.late_entries = values.count("late-entries") > 0;
    soak.stops = values["stops"].as<int>();
    soak.versions = values.count("versions") > 0;
    soak.hard_load = values.count("hard-load") > 0;
    soak.programs_directory =
        std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    soak.work_directory =
        (std::filesystem::temp_directory_path() /
         ("sailgate-soak-" + std::to_string(getpid()) + "-" + std::to_string(soak.seed)))
            .string();
    const auto report = sailgate::soak::run_soak(soak);
    std::cout << report.text << "soak: seed " << soak.seed << ", "
              << (report.started ? "" : "NOT STARTED, ") << report.turns << " turns, "
              << report.violations << " violations, logs in " << soak.work_directory << std::endl;
    violations += report.violations + (report.started ? 0 : 1);
  }
  return violations == 0 ? 0 : 1;
}
