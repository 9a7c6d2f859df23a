#include "store/latency_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace sailgate::store {

namespace {

constexpr double kMeanGain = 0.125;
constexpr double kDeviationGain = 0.25;
constexpr double kDeviations = 4;
constexpr int kSilencesOfSlowness = 3;
constexpr net::Millis kShortest{70};
constexpr net::Millis kLongest{700};
/// The store's answers vary by this much, and a busy node takes them late.
constexpr net::Millis kUsualMargin{30};
constexpr net::Millis kShortestUsual{40};

}  // namespace

void LatencyEstimate::note(StoreStatus status, net::Millis took) {
  if (answered(status)) observe(took);
  if (status == StoreStatus::kUnknown) observe_timeout(took);
}

void LatencyEstimate::observe(net::Millis latency) {
  silences_in_a_row_ = 0;
  recent_[answers_++ % kRecent] = latency;
  const auto sample = static_cast<double>(latency.count());
  deviation_ms_ += kDeviationGain * (std::abs(sample - mean_ms_) - deviation_ms_);
  mean_ms_ += kMeanGain * (sample - mean_ms_);
}

void LatencyEstimate::observe_timeout(net::Millis waited) {
  if (++silences_in_a_row_ < kSilencesOfSlowness) return;
  const auto least = static_cast<double>(waited.count());
  mean_ms_ = std::max(mean_ms_, least);
  deviation_ms_ = std::max(deviation_ms_, least / kDeviations);
}

bool LatencyEstimate::silent() const { return silences_in_a_row_ >= kSilencesOfSlowness; }

net::Millis LatencyEstimate::attempt_timeout() const {
  const auto bound = std::llround(mean_ms_ + kDeviations * deviation_ms_);
  return std::clamp(net::Millis(bound), kShortest, kLongest);
}

net::Millis LatencyEstimate::hedge_delay() const {
  auto sorted = recent_;
  const auto count = std::min(answers_, kRecent);
  std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count));
  const auto quartile = count == 0 ? net::Millis(0) : sorted[count / 4];
  return std::clamp(quartile * 3 / 2 + kUsualMargin, kShortestUsual, kLongest);
}

}  // namespace sailgate::store
