/// @file Sliding-window request counter.
#pragma once

#include <cstdint>
#include <deque>

#include "net/asio.hpp"
#include "quota/window_parts.hpp"

namespace sailgate::quota {

/// Counts in fixed time slices. A slice that overlaps a span only partly is counted in full, so a
/// count is never too low. Not thread-safe.
class UsageWindow {
 public:
  /// @param longest longest span that will be queried; older requests are dropped.
  explicit UsageWindow(net::Millis longest) : longest_(longest) {}

  void add(net::TimePoint now);
  /// Removes a request that was added at `then`.
  void refund(net::TimePoint then);
  /// Number of requests within `span` before `now`.
  int within(net::TimePoint now, net::Millis span);
  /// Requests within `window` before `now`, in buckets by age.
  BucketCounts buckets(net::TimePoint now, net::Millis window);
  /// Of the requests within `span` before `now`, the number that will leave it within `soon`.
  int count_expiring(net::TimePoint now, net::Millis span, net::Millis soon) {
    return within(now, span) - within(now, span - soon);
  }
  bool empty() const { return slices_.empty(); }

 private:
  /// With 50 slices in a window of 5 s, the count of a steady load is at most 2% too high.
  static constexpr net::Millis kSlice{100};

  struct Slice {
    std::int64_t number = 0;  ///< start time in slices since the clock's epoch
    int count = 0;
  };

  static std::int64_t slice_at(net::TimePoint time);

  net::Millis longest_;
  std::deque<Slice> slices_;  ///< oldest first
};

}  // namespace sailgate::quota
