/// @file Detection of engines that fail for several nodes.
///
/// An engine that fails every request immediately while its health check still passes always looks
/// idle, so every node sends it the next request. With 84 nodes at about 20 requests per second
/// each, many requests fail before every node has detected the fault by itself. Nodes therefore
/// share their failure counts, and one node per zone probes the engine for the others.
#pragma once

#include "balancing/engine.hpp"

namespace sailgate::balancing {

/// Consecutive failures, summed over all nodes, from which only one node per zone probes the
/// engine. One in a hundred tool calls fails, so one or two failures say little about an engine.
/// With 3 of 27 engines failing all their requests, 0.7 to 1.1 % of the requests fail with this
/// threshold and 3.4 to 3.5 % without the mechanism (84 nodes in virtual time). Other values have
/// not been tried.
inline constexpr int kSharedFailureThreshold = 3;

/// How long a failure is reported to other nodes. A node by itself avoids an engine for at most 2.4
/// s. All nodes use a recovered engine again within 3.5 s (in virtual time).
inline constexpr net::Millis kFailureReportTtl{2000};

/// Whether this node's last requests to the engine failed recently enough to be reported.
inline bool failed_lately(const Engine& engine, net::TimePoint now) {
  return engine.consecutive_failures > 0 && now < engine.failed_at + kFailureReportTtl;
}

/// Whether this node stops sending requests to the engine until another node has probed it
/// successfully.
/// @param peer_failures consecutive failures reported by the other nodes.
/// @param is_prober whether this node is the one in its zone that probes the engine.
inline bool should_await_probe(const Engine& engine, int peer_failures, bool is_prober,
                               net::TimePoint now) {
  const int own = failed_lately(engine, now) ? engine.consecutive_failures : 0;
  return !is_prober && own + peer_failures >= kSharedFailureThreshold;
}

}  // namespace sailgate::balancing
