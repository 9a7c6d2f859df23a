#include "cluster/beacon_lateness.hpp"

#include <algorithm>

namespace sailgate::cluster {

net::Millis BeaconLateness::of(std::int64_t sent_ms, net::TimePoint now) {
  const auto read_ms = std::chrono::duration_cast<net::Millis>(now.time_since_epoch()).count();
  const auto offset_ms = read_ms - sent_ms;
  if (now >= period_start_ + kMinOffsetPeriod) {
    previous_min_offset_ = min_offset_;
    min_offset_.reset();
    period_start_ = now;
  }
  min_offset_ = std::min(min_offset_.value_or(offset_ms), offset_ms);
  return net::Millis(offset_ms - std::min(*min_offset_, previous_min_offset_.value_or(offset_ms)));
}

}  // namespace sailgate::cluster
