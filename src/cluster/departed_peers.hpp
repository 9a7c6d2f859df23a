/// @file Processes that have left, or were replaced.
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
  net::Endpoint endpoint;  ///< its beacons are answered while it serves on
  net::TimePoint last_heard{};
  TenantUsages tenants;         ///< what it let through: that lies in the window for a while
  net::TimePoint left_at{};     ///< heard of as a peer until then
  bool replaced = false;        ///< another process has its place: it has ended
  bool reported = false;        ///< of itself: what it let through until it was last heard is known
  net::TimePoint started_at{};  ///< of its process; a time long ago is not told
};

/// What departed processes tell counts on: they may still be serving. Deterministic, not
/// thread-safe.
class DepartedPeers {
 public:
  /// Also one that has told nothing: it may have begun to serve a moment ago.
  void add(std::int64_t incarnation, DepartedPeer peer);
  /// It is a peer after all.
  void erase(std::int64_t incarnation) { peers_.erase(incarnation); }
  /// A beacon came from it. @return whether it is known.
  bool on_beacon(std::int64_t incarnation, const TenantUsages& tenants, net::TimePoint heard_at);
  /// Forgets those that were heard of so long ago that nothing of them lies in any window.
  void evict_expired(net::TimePoint now);
  /// Of the time between `from` and `until`, that of which no process of the node told.
  net::Millis unreported_time(const std::string& node, net::TimePoint from,
                              net::TimePoint until) const;
  /// Those that serve on, by when they were heard.
  std::vector<const DepartedPeer*> serving(net::TimePoint now, net::Millis silence) const;

  const std::unordered_map<std::int64_t, DepartedPeer>& all() const { return peers_; }

 private:
  std::unordered_map<std::int64_t, DepartedPeer> peers_;  ///< by incarnation
};

}  // namespace sailgate::cluster
