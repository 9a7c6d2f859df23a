/// @file Engines that fail for many nodes.
///
/// Answers engines that fail every request at once while their health check is good. Such an engine
/// is always idle, so each node places its next request there; and with 84 nodes of some 20
/// requests a second, each node that finds out by itself finds out by failing.
#pragma once

#include "balancing/engine.hpp"

namespace sailgate::balancing {

/// Failures in a row, over all nodes, from which an engine is left to one node a zone to try: tools
/// that fail one call in a hundred reach it by chance less than once in a minute at 700 calls a
/// second.
inline constexpr int kFailuresOfManyNodes = 3;

/// Failures are told to other nodes this long. With it an engine that works again is used again
/// within 2.5 s, and one that does not costs each zone about one request a second.
inline constexpr net::Millis kFailureTold{2000};

/// Whether this node's last requests at the engine failed, lately enough to be told.
inline bool failed_lately(const Engine& engine, net::TimePoint now) {
  return engine.consecutive_failures > 0 && now < engine.failed_at + kFailureTold;
}

/// Whether this node leaves an engine to another one to try.
/// @param told_by_others failures in a row that the other nodes tell of.
/// @param tries whether this node is the one of its zone that tries the engine.
inline bool leaves_to_probe(const Engine& engine, int told_by_others, bool tries,
                            net::TimePoint now) {
  const int own = failed_lately(engine, now) ? engine.consecutive_failures : 0;
  return !tries && own + told_by_others >= kFailuresOfManyNodes;
}

}  // namespace sailgate::balancing
