/// @file What the programs share on the command line: help, version, exit codes.
#pragma once

#include <string>

namespace sailgate::cli {

/// Exit codes of all programs (docs/OPERATIONS.md).
enum ExitCode : int {
  kSuccess = 0,
  kFailure = 1,   ///< ran, and found or met a failure
  kBadUsage = 2,  ///< wrong arguments or settings
};

/// Text of --version.
std::string version_text(const std::string& program);

}  // namespace sailgate::cli
