#include "balancing/believed_speed.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace sailgate::balancing {

namespace {

constexpr double kPermille = 1000;
/// Weight of the prior (normal speed), in samples, so that a single slow exchange of a rarely used
/// engine does not divert all its traffic.
constexpr int kPriorSamples = 4;

}  // namespace

SpeedReport weighted_mean(const SpeedReport& own, const SpeedReport& peers) {
  std::int64_t samples = 0;
  std::int64_t sum = 0;
  for (const auto& figure : {own, peers}) {
    if (figure.samples <= 0) continue;
    const std::int64_t counted = std::min(figure.samples, kMaxSamples);
    samples += counted;
    sum += counted * std::clamp(figure.permille, kMinPermille, kMaxPermille);
  }
  if (samples == 0) return {};
  return {static_cast<int>(sum / samples), static_cast<int>(samples)};
}

bool SpeedEstimate::is_recent(const WindowEntry& entry, net::TimePoint now) {
  const auto window = kSpeedSampleInterval * static_cast<int>(kWindowSize);
  return entry.figure.samples > 0 && now < entry.at + window;
}

bool SpeedEstimate::has_samples(net::TimePoint now) const {
  return std::any_of(window_.begin(), window_.end(),
                     [now](const WindowEntry& entry) { return is_recent(entry, now); });
}

double SpeedEstimate::median(net::TimePoint now, int& samples) const {
  std::vector<double> speeds;
  for (const auto& entry : window_) {
    if (!is_recent(entry, now)) continue;
    speeds.push_back(entry.figure.permille / kPermille);
    samples += entry.figure.samples;
  }
  if (speeds.empty()) return 1;
  std::sort(speeds.begin(), speeds.end());
  const auto middle = speeds.size() / 2;
  if (speeds.size() % 2 == 1) return speeds[middle];
  return (speeds[middle - 1] + speeds[middle]) / 2;
}

void SpeedEstimate::update(const SpeedReport& own, const SpeedReport& peers, net::TimePoint now) {
  if (now < updated_at_ + kSpeedSampleInterval) return;
  updated_at_ = now;
  window_.at(next_index_) = {weighted_mean(own, peers), now};
  next_index_ = (next_index_ + 1) % kWindowSize;
  int samples = 0;
  const double speed = median(now, samples);
  value_ = (speed * samples + kPriorSamples) / (samples + kPriorSamples);
}

}  // namespace sailgate::balancing
