#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "soak/soak_run.hpp"

using namespace sailgate;

TEST_CASE("gateway processes under faults break no rule", "[processes]") {
  soak::SoakOptions options;
  options.faults = 3;
  options.programs_directory =
      std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  options.work_directory =
      (std::filesystem::temp_directory_path() / ("sailgate-test-soak-" + std::to_string(getpid())))
          .string();
  const auto report = soak::run_soak(options);
  CAPTURE(report.text);
  REQUIRE(report.started);
  REQUIRE(report.violations == 0);
  REQUIRE(report.turns > 0);
}
