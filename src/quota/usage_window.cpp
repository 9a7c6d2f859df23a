#include "quota/usage_window.hpp"

namespace sailgate::quota {

std::int64_t UsageWindow::slice_at(net::TimePoint time) {
  return std::chrono::duration_cast<net::Millis>(time.time_since_epoch()) / kSlice;
}

void UsageWindow::add(net::TimePoint now) {
  const auto number = slice_at(now);
  if (slices_.empty() || slices_.back().number < number) slices_.push_back({number, 0});
  ++slices_.back().count;
}

void UsageWindow::refund(net::TimePoint then) {
  const auto number = slice_at(then);
  for (auto& slice : slices_) {
    if (slice.number == number && slice.count > 0) --slice.count;
  }
}

int UsageWindow::within(net::TimePoint now, net::Millis span) {
  const auto oldest = slice_at(now - longest_);
  while (!slices_.empty() && slices_.front().number < oldest) slices_.pop_front();
  const auto first = slice_at(now - span);
  int count = 0;
  for (auto slice = slices_.rbegin(); slice != slices_.rend() && slice->number >= first; ++slice) {
    count += slice->count;
  }
  return count;
}

BucketCounts UsageWindow::buckets(net::TimePoint now, net::Millis window) {
  const auto length = bucket_length(window);
  BucketCounts buckets{};
  int counted = 0;
  for (std::size_t bucket = 0; bucket < buckets.size(); ++bucket) {
    const int within_span = within(now, length * static_cast<std::int64_t>(bucket + 1));
    buckets[bucket] = within_span - counted;
    counted = within_span;
  }
  return buckets;
}

}  // namespace sailgate::quota
