/// @file How much what a node told still says of it.
#pragma once

#include <algorithm>

#include "net/asio.hpp"

namespace sailgate::cluster {

/// News counts whole up to an age, and less and less until it counts as no news. Limits rest on
/// it: before a peer counts as lost, nodes on both sides of a cut would each take what is left. By
/// steps instead of all at once, so that a few lost beacons in a row do not refuse callers.
struct NewsAge {
  net::Millis fresh{0};  ///< up to this age it counts whole
  net::Millis old{0};    ///< from this age on it says nothing

  /// @param silence longest time between a peer's beacons; see BeaconSender::silence_limit().
  static NewsAge within(net::Millis silence) {
    // Ages of 0.2 s are usual where 0.8 s of silence mean a lost peer, 0.5 s where 2 s do.
    constexpr int kParts = 8;
    constexpr int kFreshParts = 3;
    constexpr int kOldParts = 5;
    return {silence * kFreshParts / kParts, silence * kOldParts / kParts};
  }

  /// From 1 (it counts whole) to 0.
  double weight(net::Millis age) const {
    if (age <= fresh) return 1;
    if (age >= old) return 0;
    return static_cast<double>((old - age).count()) / static_cast<double>((old - fresh).count());
  }
};

}  // namespace sailgate::cluster
