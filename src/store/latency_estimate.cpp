#include "store/latency_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace sailgate::store {

namespace {

constexpr double kMeanGain = 0.125;
constexpr double kDeviationGain = 0.25;
constexpr double kDeviationFactor = 4;
constexpr int kSlownessTimeouts = 3;
constexpr net::Millis kMinTimeout{70};
constexpr net::Millis kMaxTimeout{700};
/// Covers the variation of the store's response times and late processing on a busy node.
constexpr net::Millis kHedgeMargin{30};
constexpr net::Millis kMinHedgeDelay{40};

}  // namespace

void LatencyEstimate::note(StoreStatus status, net::Millis took) {
  if (answered(status)) observe(took);
  if (status == StoreStatus::kUnknown) observe_timeout(took);
}

void LatencyEstimate::observe(net::Millis latency) {
  consecutive_timeouts_ = 0;
  recent_[response_count_++ % kRecentCount] = latency;
  const auto sample = static_cast<double>(latency.count());
  deviation_ms_ += kDeviationGain * (std::abs(sample - mean_ms_) - deviation_ms_);
  mean_ms_ += kMeanGain * (sample - mean_ms_);
}

void LatencyEstimate::observe_timeout(net::Millis waited) {
  if (++consecutive_timeouts_ < kSlownessTimeouts) return;
  const auto lower_bound = static_cast<double>(waited.count());
  mean_ms_ = std::max(mean_ms_, lower_bound);
  deviation_ms_ = std::max(deviation_ms_, lower_bound / kDeviationFactor);
}

bool LatencyEstimate::silent() const { return consecutive_timeouts_ >= kSlownessTimeouts; }

net::Millis LatencyEstimate::attempt_timeout() const {
  const auto bound = std::llround(mean_ms_ + kDeviationFactor * deviation_ms_);
  return std::clamp(net::Millis(bound), kMinTimeout, kMaxTimeout);
}

net::Millis LatencyEstimate::hedge_delay() const {
  auto sorted = recent_;
  const auto count = std::min(response_count_, kRecentCount);
  std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count));
  const auto quartile = count == 0 ? net::Millis(0) : sorted[count / 4];
  return std::clamp(quartile * 3 / 2 + kHedgeMargin, kMinHedgeDelay, kMaxTimeout);
}

}  // namespace sailgate::store
