#include "balancing/engines_in_use.hpp"

#include "balancing/engine_failures.hpp"

namespace sailgate::balancing {

void EnginesInUse::evict_idle(net::TimePoint now) {
  for (auto entry = last_used_.begin(); entry != last_used_.end();) {
    const auto& engine = *entry->first;
    if (engine.in_flight > 0) entry->second = now;
    const bool reports = failed_lately(engine, now) || engine.own_speed.figure(now).samples > 0;
    const bool idle = !reports && now >= entry->second + kMinIdleTime;
    entry = idle ? last_used_.erase(entry) : std::next(entry);
  }
}

}  // namespace sailgate::balancing
