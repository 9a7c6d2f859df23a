/// @file What a node knows of tenants' requests at the others, and of how many others there are.
#pragma once

#include <cstdint>

#include "cluster/peer_directory.hpp"

namespace sailgate::cluster {

/// What the nodes other than this one let through of one tenant's requests.
struct PeerUsage {
  double reported = 0;    ///< within the window, as far as news of it is fresh
  double silent = 0;      ///< the rest of what was told and may still lie within the window
  double unreported = 0;  ///< most that came since fresh news, if all that is asked for passes
  double expired = 0;     ///< of `heard`, what has left the window since
  quota::BucketCounts reported_by_age{};
  quota::BucketCounts silent_by_age{};
  quota::BucketCounts expired_by_age{};  ///< of each part of `heard`, what has grown older since
};

/// Nodes as this one sees them, itself among them.
struct Membership {
  bool complete = false;  ///< whether all nodes are known
  std::size_t known = 1;
  std::size_t heard = 1;       ///< nodes whose own word came lately
  double fresh = 1;            ///< nodes, each by how fresh news of it is
  double restarted_share = 0;  ///< share of the known nodes that started within the window
  double unknown_history = 0;  ///< mean over the known nodes of the part of the window before their
                               ///< start of which nobody told
};

/// @param silence longest time between a peer's beacons. @param window over which limits count.
PeerUsage peer_usage(const PeerDirectory& directory, std::int32_t tenant, net::TimePoint now,
                     net::Millis silence, net::Millis window);

/// @param started_at start of this process.
Membership membership_of(const PeerDirectory& directory, net::TimePoint now, net::Millis silence,
                         net::Millis window, net::TimePoint started_at);

}  // namespace sailgate::cluster
