/// @file Whether a program may begin while the engines of its service are overloaded.
///
/// Answers bursts of several times what the engines can do. Every program that is let in makes all
/// those under way later; beyond some queue none ends in time any more, and what is late keeps the
/// engines busy long after the burst. Refusing programs at once that have not begun costs only
/// them.
#pragma once

namespace sailgate::balancing {

/// Mean load of a service, in requests per slot, from which programs of the most urgent rank may
/// not begin: all slots taken and as many requests waiting. A request that waits for one whole
/// batch takes twice its time, which is beyond aims of 1.3 to 1.7 times the idle time. At 84 nodes
/// and three times the usual work for 6 s, without it none of the programs of the next 15 s ended
/// in time.
inline constexpr double kMostLoadToBegin = 2.0;
/// Each rank below the most urgent one is refused at so much less load.
inline constexpr double kLoadPerRank = 0.125;
/// No rank is refused while fewer requests than this wait for each slot that is taken.
inline constexpr double kLeastLoadToRefuse = 1.5;

/// @param load mean over the service's engines. @param rank 0 is the most urgent.
inline bool may_begin(double load, int rank) {
  const double bound = kMostLoadToBegin - kLoadPerRank * rank;
  return load < (bound > kLeastLoadToRefuse ? bound : kLeastLoadToRefuse);
}

}  // namespace sailgate::balancing
