/// @file Loads of a service from which its programs share what is left, and from which none begins.
///
/// Answers bursts of several times what the engines can do. Every program that is let in makes all
/// those under way later; beyond some queue none ends in time any more, and what is late keeps the
/// engines busy long after the burst. Refusing programs at once that have not begun costs only
/// them.
#pragma once

namespace sailgate::admission {

/// Load of a service, in requests per slot, from which programs of the most urgent rank may not
/// begin: all slots taken and as many requests waiting. A request that waits for one whole batch
/// takes twice its time, which is beyond aims of 1.3 to 1.7 times the idle time. At 84 nodes and
/// three times the usual work for 6 s, without it none of the programs of the next 15 s ended in
/// time.
inline constexpr double kMaxLoadToStart = 2.0;
/// Each rank below the most urgent one is refused at so much less load.
inline constexpr double kLoadStepPerRank = 0.125;
/// No rank is refused as a whole below this load; ranks from 4 on share this bound.
inline constexpr double kMinLoadBound = 1.5;
/// Tenants share what is left over so much load below a rank's bound. The least load at which
/// anybody is refused is then 1: all slots taken, so that no slot stays empty for a refusal.
inline constexpr double kFairShareLoadRange = 0.5;

/// Load from which programs of a rank may not begin. @param rank 0 is the most urgent.
inline double load_bound(int rank) {
  const double bound = kMaxLoadToStart - kLoadStepPerRank * rank;
  return bound > kMinLoadBound ? bound : kMinLoadBound;
}

/// @param load requests under way or waiting, by slot of the service's engines. @param rank 0 is
/// the most urgent.
inline bool may_start(double load, int rank) { return load < load_bound(rank); }

/// How much of the load that tenants share is taken: 0 where there is room for everybody, 1 where
/// nobody of this rank may begin.
inline double shortage(double load, int rank) {
  const double taken = (load - load_bound(rank) + kFairShareLoadRange) / kFairShareLoadRange;
  if (taken < 0) return 0;
  return taken < 1 ? taken : 1;
}

}  // namespace sailgate::admission
