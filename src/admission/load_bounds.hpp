/// @file Load thresholds of a service: where fair sharing starts and where new programs are
/// refused.
///
/// Handles bursts of several times the engines' capacity. Every admitted program delays all running
/// ones; above some queue length no program meets its deadline, and late programs keep the engines
/// busy long after the burst. Refusing a program that has not started costs only that program.
#pragma once

namespace sailgate::admission {

/// Load of a service, in requests per slot, from which programs of the most urgent rank are
/// refused: all slots in use and as many requests waiting. A request that waits for a full batch
/// takes twice its idle time, which misses latency objectives of 1.3 to 1.7 times the idle time.
/// Without this bound, 84 nodes under three times the normal load for 6 s finished none of the
/// programs of the next 15 s in time.
inline constexpr double kMaxLoadToStart = 2.0;
/// Each rank below the most urgent one lowers the bound by this load.
inline constexpr double kLoadStepPerRank = 0.125;
/// Lowest bound of any rank; it applies to ranks from 4 on.
inline constexpr double kMinLoadBound = 1.5;
/// Fair sharing between tenants applies over this range of load below a rank's bound. The lowest
/// load at which a program is refused is thus 1: all slots in use, so that a refusal never leaves a
/// slot idle.
inline constexpr double kFairShareLoadRange = 0.5;

/// Load from which programs of a rank are refused. @param rank 0 is the most urgent.
inline double load_bound(int rank) {
  const double bound = kMaxLoadToStart - kLoadStepPerRank * rank;
  return bound > kMinLoadBound ? bound : kMinLoadBound;
}

/// @param load running and waiting requests per slot of the service's engines. @param rank 0 is the
/// most urgent.
inline bool may_start(double load, int rank) { return load < load_bound(rank); }

/// Position of the load within the fair-share range of the rank: 0 while there is room for all
/// programs, 1 when none of this rank may start.
inline double shortage(double load, int rank) {
  const double used = (load - load_bound(rank) + kFairShareLoadRange) / kFairShareLoadRange;
  if (used < 0) return 0;
  return used < 1 ? used : 1;
}

}  // namespace sailgate::admission
