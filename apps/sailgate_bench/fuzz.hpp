/// @file Stateful fuzzing of a simulated deployment with RapidCheck.
#pragma once

#include <cstdint>
#include <string>

namespace sailgate::bench {

/// What to fuzz.
struct FuzzOptions {
  std::uint64_t seed = 1;
  int cases = 100;
  std::string sabotage;   ///< empty: the product's policies
  std::string reproduce;  ///< string of a case printed by an earlier run
  bool announce = true;   ///< let RapidCheck print how to repeat a violation
  bool shrink = true;     ///< look for a shorter schedule after a violation
};

/// Result of a run.
struct FuzzReport {
  bool held = false;        ///< no case violated a promise
  int cases = 0;            ///< cases run until the end or the first violation
  std::string description;  ///< of the violation: the shrunken schedule and what was violated
};

/// Runs cases until one violates a promise, which is then shrunk.
FuzzReport fuzz(const FuzzOptions& options);

/// `sailgate-bench fuzz`: prints the report. @return an exit code.
int run_fuzz(const FuzzOptions& options);
/// `sailgate-bench fuzz --list-sabotages`
int list_sabotages();

}  // namespace sailgate::bench
