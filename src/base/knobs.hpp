/// @file Every tunable of the cores in one place. Durations are in milliseconds.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.hpp"

namespace sailgate::base {

/// Tunables of one node. All nodes of a deployment must use the same family_parts and
/// configuration_lease.
struct Knobs {
  /// Parts of the table store that families of programs are spread over.
  std::int32_t family_parts = 256;
  /// Interval at which a node looks for work that is due, and parts it looks at each time.
  Millis sweep_interval = 1000;
  std::int32_t parts_per_sweep = 8;
  /// Time a node waits for one answer of the table store.
  Millis store_timeout = 1000;

  /// Interval at which an owed eviction is sent again.
  Millis eviction_interval = 1000;
  /// Interval at which an unknown outcome is asked for again.
  Millis inquiry_interval = 1000;
  /// Time past an attempt's deadline after which its gateway is given up.
  Millis attempt_grace = 1000;
  /// Age at which another node asks the process that runs an attempt whether it still does.
  Millis gateway_check_interval = 2000;
  /// A program without any activity for this long is ended.
  Millis idle_limit = 1'800'000;
  /// Time after its last change for which a finished family is kept.
  Millis retention = 86'400'000;
  /// Time a node may serve under its configuration after it began to read it.
  Millis configuration_lease = 5000;
  /// Interval at which a node reads the configuration in force.
  Millis configuration_poll = 1000;
  /// Most that two nodes' clocks drift apart over a configuration lease, in parts per hundred.
  int clock_drift_percent = 20;
};

}  // namespace sailgate::base
