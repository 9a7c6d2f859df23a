/// @file Costs of the cores at a given size, for docs/CAPACITY.md.
#pragma once

#include <cstddef>

namespace sailgate::bench {

struct ScaleOptions {
  std::size_t nodes = 25;
  std::size_t engines = 100;
  std::size_t programs = 200;
  std::size_t calls = 40;  ///< of each program
};

/// Prints what one node does and holds; run it at several sizes to see the slopes.
/// @return exit code.
int run_scale(const ScaleOptions& options);

}  // namespace sailgate::bench
