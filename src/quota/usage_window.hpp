/// @file Requests counted over a sliding span of time.
#pragma once

#include <cstdint>
#include <deque>

#include "net/asio.hpp"
#include "quota/window_parts.hpp"

namespace sailgate::quota {

/// Counts in slices of time; a slice that lies partly within a span counts whole, so that a count
/// is never too low. Not thread-safe.
class UsageWindow {
 public:
  /// @param longest span that is asked for; older requests are forgotten.
  explicit UsageWindow(net::Millis longest) : longest_(longest) {}

  void add(net::TimePoint now);
  /// Takes back a request that was added at `then`.
  void refund(net::TimePoint then);
  /// Requests within `span` before `now`.
  int within(net::TimePoint now, net::Millis span);
  /// Requests within `window` before `now`, by their age.
  BucketCounts parts(net::TimePoint now, net::Millis window);
  /// Of the requests within `span` before `now`, those that leave it within `soon` from now on.
  int count_expiring(net::TimePoint now, net::Millis span, net::Millis soon) {
    return within(now, span) - within(now, span - soon);
  }
  bool empty() const { return slices_.empty(); }

 private:
  /// With 50 slices in a window of 5 s a count is at most 2 in 100 of a steady tenant's too high.
  static constexpr net::Millis kSlice{100};

  struct Slice {
    std::int64_t number = 0;  ///< start, in slices since the clock's epoch
    int count = 0;
  };

  static std::int64_t slice_at(net::TimePoint time);

  net::Millis longest_;
  std::deque<Slice> slices_;  ///< oldest first
};

}  // namespace sailgate::quota
