/// @file `sailgate-bench load`: latency, throughput, idle traffic and failover on real processes.
#pragma once

#include <cstdint>
#include <string>

namespace sailgate::bench {

/// What to measure.
struct LoadOptions {
  std::size_t callers = 32;
  int duration_millis = 10'000;
  std::uint64_t seed = 1;
  std::int32_t base_port = 23000;
  std::string programs_directory;
  std::string work_directory;
};

/// Prints the measurements. @return an exit code.
int run_load(const LoadOptions& options);

}  // namespace sailgate::bench
