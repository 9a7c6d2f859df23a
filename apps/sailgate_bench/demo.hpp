/// @file `sailgate-bench demo`: one program of each deployment on real processes.
#pragma once

#include <string>

namespace sailgate::bench {

/// Prints what happens call by call. @return an exit code.
int run_demo(const std::string& programs, const std::string& work);

}  // namespace sailgate::bench
