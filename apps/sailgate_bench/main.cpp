/// @file sailgate-bench: load, faults, oracle and reports.

#include <unistd.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>
#include <string>

#include "cli/program.hpp"
#include "demo.hpp"
#include "faults.hpp"
#include "fuzz.hpp"
#include "http/http_server.hpp"
#include "load.hpp"
#include "selection.hpp"

namespace {

using namespace sailgate;
namespace options = boost::program_options;

constexpr std::size_t kHttpLibraryThreads = 16;

/// Directory of this program, where the others are too.
std::string own_directory() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

std::string work_directory() {
  const auto name = "sailgate-" + std::to_string(getpid());
  return (std::filesystem::temp_directory_path() / name).string();
}

/// Options of all commands; each uses some.
options::options_description describe_options() {
  options::options_description description(
      "sailgate-bench COMMAND [options]; COMMAND is demo, faults, fuzz, load or selection");
  auto add = description.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("command", options::value<std::string>(), "what to do");
  add("seed", options::value<std::uint64_t>()->default_value(1), "seed of a run");
  add("cases", options::value<int>()->default_value(100), "fuzz: number of cases");
  add("sabotage", options::value<std::string>()->default_value(""),
      "fuzz: break this policy; the run must then fail");
  add("list-sabotages", "fuzz: name the sabotages");
  add("reproduce", options::value<std::string>()->default_value(""),
      "fuzz: run the case an earlier run printed after 'reproduce='");
  add("no-shrink", "fuzz: report the schedule as found");
  add("faults", options::value<std::size_t>()->default_value(8), "faults: number of faults");
  add("outage-ms", options::value<int>()->default_value(60'000),
      "faults: length of a table-service outage");
  add("callers", options::value<std::size_t>()->default_value(32), "load: concurrent callers");
  add("duration-ms", options::value<int>()->default_value(10'000),
      "load: length of each measurement");
  add("engines", options::value<std::size_t>()->default_value(100), "selection: number of engines");
  return description;
}

int run_fuzz(const options::variables_map& values) {
  if (values.count("list-sabotages") > 0) return bench::list_sabotages();
  bench::FuzzOptions fuzz;
  fuzz.seed = values["seed"].as<std::uint64_t>();
  fuzz.cases = values["cases"].as<int>();
  fuzz.sabotage = values["sabotage"].as<std::string>();
  fuzz.reproduce = values["reproduce"].as<std::string>();
  fuzz.shrink = values.count("no-shrink") == 0;
  if (fuzz.cases < 1) throw options::error("--cases must be at least 1");
  return bench::run_fuzz(fuzz);
}

int run_faults(const options::variables_map& values) {
  bench::FaultOptions faults;
  faults.seed = values["seed"].as<std::uint64_t>();
  faults.faults = values["faults"].as<std::size_t>();
  faults.outage_millis = values["outage-ms"].as<int>();
  faults.programs_directory = own_directory();
  faults.work_directory = work_directory();
  return bench::run_faults(faults);
}

int run_load(const options::variables_map& values) {
  bench::LoadOptions load;
  load.seed = values["seed"].as<std::uint64_t>();
  load.callers = values["callers"].as<std::size_t>();
  load.duration_millis = values["duration-ms"].as<int>();
  load.programs_directory = own_directory();
  load.work_directory = work_directory();
  return bench::run_load(load);
}

int run_selection(const options::variables_map& values) {
  const auto engines = values["engines"].as<std::size_t>();
  if (engines < 1) throw options::error("selection needs 1 engine at least");
  return bench::run_selection(engines);
}

int run(int argc, char** argv) {
  const auto description = describe_options();
  const auto values = cli::parse_with_first(argc, argv, description, "command");
  if (cli::answer_help("sailgate-bench", values, description,
                       "0 success, 1 failure, 2 bad arguments")) {
    return cli::kSuccess;
  }
  if (values.count("command") == 0) throw options::error("no command is named");
  const auto command = values["command"].as<std::string>();
  if (command == "fuzz") return run_fuzz(values);
  if (command == "selection") return run_selection(values);
  http::initialize_http(kHttpLibraryThreads);
  if (command == "demo") return bench::run_demo(own_directory(), work_directory());
  if (command == "faults") return run_faults(values);
  if (command == "load") return run_load(values);
  throw options::error("unknown command '" + command + "'");
}

}  // namespace

int main(int argc, char** argv) { return cli::run_program("sailgate-bench", argc, argv, run); }
