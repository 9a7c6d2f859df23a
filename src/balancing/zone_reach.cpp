#include "balancing/zone_reach.hpp"

#include <algorithm>

namespace sailgate::balancing {

namespace {

/// News of a zone comes several times a second; without it for this long a connection is tried.
constexpr net::Millis kDoubt{400};
/// Without any sign for this long, which leaves time for one try, the zone's engines come last:
/// callers lose less by a turn read anew elsewhere than by waiting out a time-out.
constexpr net::Millis kSilence{700};
/// Time between tries: one connection a node and second is little beside its usual work.
constexpr net::Millis kTryInterval{1000};

}  // namespace

void ZoneReach::note_sign(const std::string& zone, net::TimePoint at) {
  auto& known = zones_[zone];
  known.newest_sign = std::max(known.newest_sign, at);
}

bool ZoneReach::reachable(const std::string& zone, net::TimePoint now) const {
  const auto known = zones_.find(zone);
  return known == zones_.end() || now < known->second.newest_sign + kSilence;
}

bool ZoneReach::should_try(const std::string& zone, net::TimePoint now) {
  const auto known = zones_.find(zone);
  if (known == zones_.end() || now < known->second.newest_sign + kDoubt) return false;
  auto& tried_at = known->second.tried_at;
  if (now < tried_at + kTryInterval) return false;
  tried_at = now;
  return true;
}

}  // namespace sailgate::balancing
