/// @file Engines that fail for many nodes.
///
/// Answers engines that fail every request at once while their health check is good. Such an engine
/// is always idle, so each node places its next request there; and with 84 nodes of some 20
/// requests a second, each node that finds out by itself finds out by failing.
#pragma once

#include "balancing/engine.hpp"

namespace sailgate::balancing {

/// Failures in a row, over all nodes, from which an engine is left to one node a zone to try. Tools
/// fail one call in a hundred, so one or two failures tell nothing of an engine. With it 0.7 to 1.1
/// of 100 requests fail where 3 of 27 engines fail all of theirs, without it 3.4 to 3.5 (84 nodes
/// in virtual time). Not tuned: other numbers were not tried.
inline constexpr int kSharedFailureThreshold = 3;

/// Failures are told to other nodes this long: the longest that a node avoids an engine by itself
/// is 2.4 s. All nodes use an engine again within 3.5 s of its mending (in virtual time).
inline constexpr net::Millis kFailureReportTtl{2000};

/// Whether this node's last requests at the engine failed, lately enough to be told.
inline bool failed_lately(const Engine& engine, net::TimePoint now) {
  return engine.consecutive_failures > 0 && now < engine.failed_at + kFailureReportTtl;
}

/// Whether this node leaves an engine to another one to try.
/// @param told_by_others failures in a row that the other nodes tell of.
/// @param tries whether this node is the one of its zone that tries the engine.
inline bool should_await_probe(const Engine& engine, int told_by_others, bool tries,
                               net::TimePoint now) {
  const int own = failed_lately(engine, now) ? engine.consecutive_failures : 0;
  return !tries && own + told_by_others >= kSharedFailureThreshold;
}

}  // namespace sailgate::balancing
