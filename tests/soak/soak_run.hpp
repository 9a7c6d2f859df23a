/// @file A soak of real gateway processes: faults from outside, rules checked while it runs.
#pragma once

#include <cstdint>
#include <string>

namespace sailgate::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  int faults = 8;
  int nodes = 4;
  bool hard_load = false;  ///< adds faults that bring load and less capacity together
  /// Two series of faults overlap, while engines start again under their names, others write into
  /// their list and configurations follow one another; callers keep their connections.
  bool overlap = false;
  /// Each configuration adds a route, by which nodes show the version that they go by.
  bool configurations = false;
  bool poison = false;         ///< requests that end engines, among harmless ones
  bool resumed_turns = false;  ///< retained turns that break off and are resumed
  bool late_entries = false;   ///< late entries of engines that have started again
  int stops = 0;               ///< instead of other faults, planned stops of nodes that are busy
  bool versions = false;       ///< engines of two software versions, callers resume streams
  /// Instead of other faults: so many times all nodes are killed right after a burst.
  int burst_losses = 0;
  std::string programs_directory;  ///< holds sailgate-gateway and sailgate-standin
  std::string work_directory;      ///< for settings and logs; created
};

struct SoakReport {
  bool started = false;
  std::size_t violations = 0;
  std::size_t turns = 0;  ///< answered whole
  std::string text;       ///< lines for people
};

SoakReport run_soak(const SoakOptions& options);

}  // namespace sailgate::soak
