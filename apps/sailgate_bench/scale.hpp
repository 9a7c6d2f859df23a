/// @file `sailgate-bench scale`: hollow nodes by the hundred, measured.
#pragma once

#include <cstddef>

#include "simulation/hollow_fleet.hpp"

namespace sailgate::bench {

/// What to run.
struct ScaleOptions {
  simulation::FleetShape shape;
  std::size_t programs = 1000;
  std::size_t calls = 1000;
  bool failures = false;  ///< also kill a node, a rack, a zone, cut a region, replace nodes
};

/// Prints the measurements. @return an exit code.
int run_scale(const ScaleOptions& options);

}  // namespace sailgate::bench
