/// @file Benchmark: how long the choice of an engine takes.
#pragma once

#include <cstddef>

namespace sailgate::bench {

/// Prints the time of a choice among so many engines of one service, for a line of turns that has
/// an engine and for one that has not. @return the exit code.
int run_selection(std::size_t engines);

}  // namespace sailgate::bench
