/// @file Tracks when a node steps aside (reports itself as not ready) and when it becomes ready
/// again.
#pragma once

#include "readiness/readiness.hpp"

namespace sailgate::readiness {

/// Time in which the load balancer detects a node that is not ready: it probes once a second and
/// acts on the second failed probe.
inline constexpr net::Millis kLoadBalancerDetectionTime{2200};

/// Adds hysteresis to decide(): stepping aside and returning take different times. Deterministic,
/// not thread-safe.
class ReadinessTracker {
 public:
  /// Evaluates the current view; called several times a second. @return whether steps_aside() has
  /// changed.
  bool update(const ReadinessView& view, net::TimePoint now);

  /// Whether the node is not ready and callers should go to other nodes.
  bool steps_aside() const { return steps_aside_; }
  /// Whether turns that need the store cannot be served here at present. False as soon as the store
  /// is back, also while the node still steps aside.
  bool store_lost() const { return steps_aside_ && !latest_.serve; }
  /// The latest decision, without hysteresis.
  const Readiness& latest() const { return latest_; }
  net::Millis time_aside(net::TimePoint now) const;
  /// Time until a refused caller can reach a node that serves it: none if other nodes of the zone
  /// can take the retry; with the whole zone partitioned, until the load balancer has detected it.
  net::Millis time_to_failover(net::TimePoint now) const;

 private:
  void leave(net::TimePoint now);
  void rejoin_when_stable(net::TimePoint now);
  /// Time for which the reason to step aside must be absent before the node returns.
  net::Millis required_stable_time() const;

  Readiness latest_;
  bool steps_aside_ = false;
  net::TimePoint updated_at_{};
  net::TimePoint trusted_from_{};  ///< ages are unreliable until then, after a suspension
  net::TimePoint left_at_{};
  net::TimePoint returned_at_{};
  net::TimePoint stable_since_{};  ///< since when the reason is absent; zero: it is present
  int consecutive_flaps_ = 0;      ///< consecutive times it left again soon after a return
};

}  // namespace sailgate::readiness
