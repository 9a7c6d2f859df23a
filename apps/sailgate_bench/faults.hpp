/// @file `sailgate-bench faults`: real processes under kills, freezes, outages and planned stops.
#pragma once

#include <cstdint>
#include <string>

namespace sailgate::bench {

/// What to run.
struct FaultOptions {
  std::uint64_t seed = 1;
  std::size_t programs = 24;
  std::size_t callers = 8;
  std::size_t faults = 8;
  int outage_millis = 60'000;  ///< length of the table-service outage
  std::int32_t base_port = 22000;
  std::string programs_directory;
  std::string work_directory;
};

/// What was seen.
struct FaultReport {
  bool started = false;
  std::size_t programs_finished = 0;
  std::size_t calls_answered = 0;
  std::size_t violations = 0;
  double longest_unavailable_ms =
      0;             ///< longest time a caller waited for one answer, retries included
  std::string text;  ///< lines for people, violations among them
};

FaultReport faults(const FaultOptions& options);
/// Prints the report. @return an exit code.
int run_faults(const FaultOptions& options);

}  // namespace sailgate::bench
