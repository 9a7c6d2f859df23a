/// @file Processes that have left the fleet or were replaced.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/tenant_usage.hpp"
#include "net/asio.hpp"

namespace sailgate::cluster {

struct DepartedPeer {
  std::string node;
  std::string zone;
  net::Endpoint endpoint;  ///< it still receives beacons while it drains
  net::TimePoint last_heard{};
  TenantUsages tenants;      ///< requests it admitted, which stay in the limits' window for a while
  net::TimePoint left_at{};  ///< end of the time in which it was heard as a peer
  bool replaced = false;     ///< a new process of the node has started, so this one has ended
  bool reported = false;     ///< its usage until last_heard is known
  net::TimePoint started_at{};  ///< start of its process; a start long ago is not reported
};

/// Keeps the usage of departed processes, which still counts against limits: they may still be
/// serving. Deterministic, not thread-safe.
class DepartedPeers {
 public:
  /// Adds a process, even one that has reported nothing: it may have just started to serve.
  void add(std::int64_t incarnation, DepartedPeer peer);
  /// Removes a process that turned out to be a current peer.
  void erase(std::int64_t incarnation) { peers_.erase(incarnation); }
  /// Applies a beacon of a departed process. @return whether the process is known.
  bool on_beacon(std::int64_t incarnation, const TenantUsages& tenants, net::TimePoint heard_at);
  /// Removes processes last heard so long ago that none of their requests lies in any window.
  void evict_expired(net::TimePoint now);
  /// Length of the part of [`from`, `until`] that no report of a departed process of the node
  /// covers.
  net::Millis unreported_time(const std::string& node, net::TimePoint from,
                              net::TimePoint until) const;
  /// Processes that were heard within `silence` and not replaced, and so are still serving.
  std::vector<const DepartedPeer*> serving(net::TimePoint now, net::Millis silence) const;

  const std::unordered_map<std::int64_t, DepartedPeer>& all() const { return peers_; }

 private:
  std::unordered_map<std::int64_t, DepartedPeer> peers_;  ///< by incarnation
};

}  // namespace sailgate::cluster
