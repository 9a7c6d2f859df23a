#include "serving/stream_timing.hpp"

#include "net/milliseconds.hpp"

namespace sailgate::serving {

namespace {

/// A single gap may be due to network packetization alone.
constexpr std::size_t kMinGaps = 2;
/// If a slow caller blocked reading for more than 1/kMaxBlockedShare of the time between the first
/// and the last event, the gaps reflect the caller's speed and are not reported.
constexpr int kMaxBlockedShare = 10;

}  // namespace

void StreamTiming::record_events(std::size_t events, net::TimePoint now) {
  if (first_ == net::TimePoint{}) {
    first_ = now;
  } else {
    gaps_ += events;
  }
  last_ = now;
}

std::optional<balancing::StreamTimes> StreamTiming::times(net::TimePoint ended) const {
  if (first_ == net::TimePoint{}) return std::nullopt;
  balancing::StreamTimes times;
  times.first_event_ms = net::milliseconds_between(started_, first_);
  times.total_ms = net::milliseconds_between(started_, ended);
  times.prompt_cached = prompt_cached_;
  const auto span = last_ - first_;
  if (gaps_ >= kMinGaps && blocked_ * kMaxBlockedShare <= span) {
    times.mean_event_gap_ms = net::milliseconds_between(first_, last_) / static_cast<double>(gaps_);
  }
  return times;
}

}  // namespace sailgate::serving
