/// @file A node's view of the tenants' requests at its peers and of the cluster membership.
#pragma once

#include <cstdint>

#include "cluster/peer_directory.hpp"

namespace sailgate::cluster {

/// One tenant's requests admitted by the other nodes.
struct PeerUsage {
  double reported = 0;    ///< within the window, weighted by the freshness of the reports
  double silent = 0;      ///< rest of what was reported and may still be in the window
  double unreported = 0;  ///< upper bound on requests since the reports: all received ones
  double expired = 0;     ///< part of `reported` that has left the window since the report
  quota::BucketCounts reported_by_age{};
  quota::BucketCounts silent_by_age{};
  quota::BucketCounts expired_by_age{};  ///< per bucket of `reported`, what has aged out of it
};

/// Cluster membership as seen by this node, including itself.
struct Membership {
  bool complete = false;  ///< whether all nodes are known
  std::size_t known = 1;
  std::size_t heard = 1;       ///< nodes whose own beacon arrived within the silence limit
  double fresh = 1;            ///< number of nodes, each weighted by the freshness of its report
  double restarted_share = 0;  ///< share of the known nodes that started within the window
  /// Mean over the known nodes of the part of the window before their start that no report covers.
  double unknown_history = 0;
};

/// @param silence time without a beacon after which a peer counts as silent.
/// @param window sliding window of the rate limits.
PeerUsage peer_usage(const PeerDirectory& directory, std::int32_t tenant, net::TimePoint now,
                     net::Millis silence, net::Millis window);

/// @param started_at start time of this process.
Membership membership_of(const PeerDirectory& directory, net::TimePoint now, net::Millis silence,
                         net::Millis window, net::TimePoint started_at);

}  // namespace sailgate::cluster
