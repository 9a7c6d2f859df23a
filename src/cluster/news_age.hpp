/// @file How much what a node told still says of it.
#pragma once

#include <algorithm>

#include "net/asio.hpp"

namespace sailgate::cluster {

/// News counts whole up to an age, and less and less until it counts as no news. Limits rest on
/// it: before a peer counts as lost, nodes on both sides of a cut would each take what is left. By
/// steps instead of all at once, so that a few lost beacons in a row do not refuse callers.
struct FreshnessDecay {
  net::Millis full_weight_until{0};  ///< up to this age it counts whole
  net::Millis zero_weight_from{0};   ///< from this age on it says nothing

  /// @param silence longest time between a peer's beacons; see BeaconSender::silence_limit().
  static FreshnessDecay within(net::Millis silence) {
    // Ages of 0.2 s are usual where 0.8 s of silence mean a lost peer, 0.5 s where 2 s do.
    constexpr int kParts = 8;
    constexpr int kFullWeightParts = 3;
    constexpr int kZeroWeightParts = 5;
    return {silence * kFullWeightParts / kParts, silence * kZeroWeightParts / kParts};
  }

  /// From 1 (it counts whole) to 0.
  double weight(net::Millis age) const {
    if (age <= full_weight_until) return 1;
    if (age >= zero_weight_from) return 0;
    return static_cast<double>((zero_weight_from - age).count()) /
           static_cast<double>((zero_weight_from - full_weight_until).count());
  }
};

}  // namespace sailgate::cluster
