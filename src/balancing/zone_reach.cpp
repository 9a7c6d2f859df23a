#include "balancing/zone_reach.hpp"

#include <algorithm>

namespace sailgate::balancing {

namespace {

/// A probe is sent after this time without contact. Messages from a zone arrive about six times a
/// second at random intervals. With 400 ms, 84 nodes in three healthy zones opened 5,827
/// connections to engines in 22 simulated seconds, against 3,837 with the mechanism off (one run
/// each).
constexpr net::Millis kProbeAfter{600};
/// A zone counts as unreachable after this time without contact, which leaves time for one probe.
/// Its engines then rank last: prefilling a prompt on another engine costs callers less than
/// waiting for a timeout.
constexpr net::Millis kUnreachableAfter{900};
/// Time between probes. Short enough that a zone whose engines accept connections never counts as
/// unreachable, even if all of its nodes are down; adds few connections to a node's normal traffic.
constexpr net::Millis kProbeInterval{600};

}  // namespace

void ZoneReachability::record_contact(const std::string& zone, net::TimePoint at) {
  auto& known = zones_[zone];
  known.last_contact = std::max(known.last_contact, at);
}

net::Millis ZoneReachability::silent_for(const std::string& zone, net::TimePoint now) const {
  const auto known = zones_.find(zone);
  if (known == zones_.end()) return net::Millis(0);
  return std::chrono::duration_cast<net::Millis>(now - known->second.last_contact);
}

bool ZoneReachability::reachable(const std::string& zone, net::TimePoint now) const {
  return silent_for(zone, now) < kUnreachableAfter;
}

bool ZoneReachability::should_probe(const std::string& zone, net::TimePoint now) {
  const auto known = zones_.find(zone);
  if (known == zones_.end() || now < known->second.last_contact + kProbeAfter) return false;
  auto& probed_at = known->second.probed_at;
  if (now < probed_at + kProbeInterval) return false;
  probed_at = now;
  return true;
}

}  // namespace sailgate::balancing
