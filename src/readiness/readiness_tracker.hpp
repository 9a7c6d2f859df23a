/// @file When a node steps aside and when it returns.
#pragma once

#include "readiness/readiness.hpp"

namespace sailgate::readiness {

/// Time in which the entry has noticed a node that is not ready: it asks once a second and believes
/// the second refusal.
inline constexpr net::Millis kLoadBalancerDetectionTime{2200};

/// decide() with memory: leaving and returning take different times. Deterministic, not
/// thread-safe.
class ReadinessTracker {
 public:
  /// Takes in what is known now, several times a second. @return whether steps_aside() has changed.
  bool update(const ReadinessView& view, net::TimePoint now);

  /// Callers are to be sent elsewhere.
  bool steps_aside() const { return steps_aside_; }
  /// Turns that need the store cannot be served here now; false already while a return is awaited.
  bool store_lost() const { return steps_aside_ && !latest_.serve; }
  /// The last decision, as of now.
  const Readiness& latest() const { return latest_; }
  net::Millis time_aside(net::TimePoint now) const;
  /// When a refused caller finds a node that can serve it: at once, since other nodes of the zone
  /// take retries, or, with the whole zone cut off, when the entry has noticed.
  net::Millis time_to_failover(net::TimePoint now) const;

 private:
  void leave(net::TimePoint now);
  void rejoin_when_stable(net::TimePoint now);
  /// How long the reason to step aside has to be gone.
  net::Millis required_stable_time() const;

  Readiness latest_;
  bool steps_aside_ = false;
  net::TimePoint updated_at_{};
  net::TimePoint trusted_from_{};  ///< after a pause of the process, ages say nothing for a while
  net::TimePoint left_at_{};
  net::TimePoint returned_at_{};
  net::TimePoint stable_since_{};  ///< the reason is gone; zero: it is not
  int consecutive_flaps_ = 0;      ///< times it left again soon after a return
};

}  // namespace sailgate::readiness
