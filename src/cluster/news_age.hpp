/// @file Weight of a node's last report by its age.
#pragma once

#include <algorithm>

#include "net/asio.hpp"

namespace sailgate::cluster {

/// A report has full weight up to one age and a weight that falls linearly to 0 until another.
///
/// Rate limits depend on this weight: without it, the nodes on both sides of a network partition
/// would each use up the rest of a limit until they count each other as lost. The weight falls
/// gradually so that a few lost beacons in a row do not cause callers to be refused.
struct FreshnessDecay {
  net::Millis full_weight_until{0};  ///< up to this age the weight is 1
  net::Millis zero_weight_from{0};   ///< from this age on the weight is 0

  /// Scales the decay to the time after which a peer counts as lost.
  /// @param silence see BeaconSender::silence_limit().
  static FreshnessDecay within(net::Millis silence) {
    // Typical ages are 0.2 s where a peer counts as lost after 0.8 s, and 0.5 s where it does after
    // 2 s.
    constexpr int kParts = 8;
    constexpr int kFullWeightParts = 3;
    constexpr int kZeroWeightParts = 5;
    return {silence * kFullWeightParts / kParts, silence * kZeroWeightParts / kParts};
  }

  /// Weight of a report of this age, between 0 and 1.
  double weight(net::Millis age) const {
    if (age <= full_weight_until) return 1;
    if (age >= zero_weight_from) return 0;
    return static_cast<double>((zero_weight_from - age).count()) /
           static_cast<double>((zero_weight_from - full_weight_until).count());
  }
};

}  // namespace sailgate::cluster
