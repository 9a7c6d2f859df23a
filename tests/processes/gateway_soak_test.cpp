#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "soak/soak_run.hpp"

using namespace sailgate;

namespace {

/// Plays one seed; its logs are in a directory of the test's own.
soak::SoakReport play(soak::SoakOptions options, const std::string& name) {
  options.programs_directory =
      std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  options.work_directory = (std::filesystem::temp_directory_path() /
                            ("sailgate-test-" + name + "-" + std::to_string(getpid())))
                               .string();
  return soak::run_soak(options);
}

void require_no_violation(const soak::SoakReport& report) {
  CAPTURE(report.text);
  REQUIRE(report.started);
  REQUIRE(report.violations == 0);
  REQUIRE(report.turns > 0);
}

}  // namespace

TEST_CASE("gateway processes under faults break no rule", "[processes]") {
  soak::SoakOptions options;
  options.faults = 3;
  require_no_violation(play(options, "soak"));
}

// Guards against nodes that all began at once and each took what was left of the limit, against
// processes whose requests no longer counted once they had left, and against callers that ask
// faster than nodes can tell.
TEST_CASE("a tenant's limit holds under the faults of a seed that once exceeded it",
          "[processes]") {
  soak::SoakOptions options;
  options.seed = 800;
  options.faults = 10;
  require_no_violation(play(options, "soak-800"));
}

TEST_CASE("gateway processes under load and less capacity break no rule", "[processes]") {
  soak::SoakOptions options;
  options.seed = 2;
  options.faults = 4;
  options.hard_load = true;
  require_no_violation(play(options, "soak-load"));
}

// Guards against callers that had waited for the store and go on all at once, faster than four
// nodes told each other: 417 requests of 416 that a limit allowed.
TEST_CASE("overlapping faults, engines that start again and changing limits break no rule",
          "[processes]") {
  soak::SoakOptions options;
  options.seed = 7041;
  options.faults = 6;
  options.hard_load = true;
  options.overlap = true;
  require_no_violation(play(options, "soak-overlap"));
}

// Guards against new processes that take an even use of limits for granted, as seed 30001 does.
TEST_CASE("a limit holds over standstills and a loss of all nodes", "[processes]") {
  soak::SoakOptions options;
  options.seed = 9003;
  options.overlap = true;
  require_no_violation(play(options, "soak-9003"));
}

// Guards against new processes that take an even use of limits for granted.
TEST_CASE("a limit holds over kills of all processes right after bursts", "[processes]") {
  soak::SoakOptions options;
  options.seed = 30001;
  options.burst_losses = 3;
  require_no_violation(play(options, "soak-burst-losses"));
}

TEST_CASE("streams hold events of one software version under faults", "[processes]") {
  soak::SoakOptions options;
  options.seed = 66;
  options.faults = 4;
  options.overlap = true;
  options.versions = true;
  require_no_violation(play(options, "soak-versions"));
}

TEST_CASE("no process returns to an older configuration under faults", "[processes]") {
  soak::SoakOptions options;
  options.seed = 67;
  options.faults = 4;
  options.overlap = true;
  options.configurations = true;
  require_no_violation(play(options, "soak-configurations"));
}

// Guards against counting a stream that goes on at another engine as a further request.
TEST_CASE("a limit holds over two losses of all nodes while a tenant is busy", "[processes]") {
  soak::SoakOptions options;
  options.seed = 66300;
  options.faults = 4;
  options.hard_load = true;
  options.overlap = true;
  options.versions = true;
  options.configurations = true;
  require_no_violation(play(options, "soak-66300"));
}

TEST_CASE("requests that end engines reach three of them under faults", "[processes]") {
  soak::SoakOptions options;
  options.seed = 693;
  options.faults = 2;
  options.poison = true;
  require_no_violation(play(options, "soak-poison"));
}

TEST_CASE("busy nodes that stop as planned drop no request of a kept connection", "[processes]") {
  soak::SoakOptions options;
  options.seed = 1;
  options.stops = 3;
  require_no_violation(play(options, "soak-stops"));
}

TEST_CASE("resumed turns stay whole and late entries end no living engine under faults",
          "[processes]") {
  soak::SoakOptions options;
  options.seed = 1;
  options.faults = 2;
  options.resumed_turns = true;
  options.late_entries = true;
  require_no_violation(play(options, "soak-late"));
}
