/// @file sailgate-bench: load, faults, oracle and reports.

#include <glog/logging.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>
#include <string>

#include "cli/command_line.hpp"
#include "demo.hpp"
#include "fuzz.hpp"
#include "http/http_server.hpp"

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

int run(int argc, char** argv) {
  options::options_description description(
      "sailgate-bench COMMAND [options]; COMMAND is demo or fuzz");
  description.add_options()("help", "print this text")("version", "print the version")(
      "command", options::value<std::string>(), "what to do")(
      "seed", options::value<std::uint64_t>()->default_value(1), "fuzz: seed")(
      "cases", options::value<int>()->default_value(100), "fuzz: number of cases")(
      "sabotage", options::value<std::string>()->default_value(""),
      "fuzz: break this policy; the run must then fail")(
      "reproduce", options::value<std::string>()->default_value(""),
      "fuzz: run the case an earlier run printed after 'reproduce='")(
      "no-shrink", "fuzz: report the schedule as found")("list-sabotages",
                                                         "fuzz: name the sabotages");
  options::positional_options_description positional;
  positional.add("command", 1);
  options::variables_map values;
  options::store(
      options::command_line_parser(argc, argv).options(description).positional(positional).run(),
      values);
  if (values.count("help") > 0) {
    std::cout << description << "exit codes: 0 success, 1 failure, 2 bad arguments\n";
    return cli::kSuccess;
  }
  if (values.count("version") > 0) {
    std::cout << cli::version_text("sailgate-bench") << "\n";
    return cli::kSuccess;
  }
  if (values.count("command") == 0) throw options::error("no command is named");
  const auto command = values["command"].as<std::string>();
  http::initialize_http(kHttpLibraryThreads);
  if (command == "demo") return bench::run_demo(own_directory(), work_directory());
  if (command == "fuzz") {
    if (values.count("list-sabotages") > 0) return bench::list_sabotages();
    bench::FuzzOptions fuzz;
    fuzz.seed = values["seed"].as<std::uint64_t>();
    fuzz.cases = values["cases"].as<int>();
    fuzz.sabotage = values["sabotage"].as<std::string>();
    fuzz.reproduce = values["reproduce"].as<std::string>();
    fuzz.shrink = values.count("no-shrink") == 0;
    return bench::run_fuzz(fuzz);
  }
  throw options::error("unknown command '" + command + "'");
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  google::InstallFailureSignalHandler();
  try {
    return run(argc, argv);
  } catch (const options::error& error) {
    std::cerr << "sailgate-bench: " << error.what() << "\n";
    return cli::kBadUsage;
  } catch (const std::exception& error) {
    std::cerr << "sailgate-bench: " << error.what() << "\n";
    return cli::kFailure;
  }
}
