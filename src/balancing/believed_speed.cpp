#include "balancing/believed_speed.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace sailgate::balancing {

namespace {

constexpr double kPermille = 1000;
/// Samples that the usual speed counts for: one slow exchange of an engine that has hardly been
/// used must not empty it.
constexpr int kUsualSamples = 4;

}  // namespace

SpeedReport merged(const SpeedReport& own, const SpeedReport& told) {
  std::int64_t samples = 0;
  std::int64_t sum = 0;
  for (const auto& figure : {own, told}) {
    if (figure.samples <= 0) continue;
    const std::int64_t counted = std::min(figure.samples, kMaxSamples);
    samples += counted;
    sum += counted * std::clamp(figure.permille, kMinPermille, kMaxPermille);
  }
  if (samples == 0) return {};
  return {static_cast<int>(sum / samples), static_cast<int>(samples)};
}

double SpeedEstimate::median(net::TimePoint now, int& samples) const {
  std::vector<double> speeds;
  for (const auto& reading : readings_) {
    if (reading.figure.samples == 0) continue;
    if (now >= reading.at + kSpeedReading * static_cast<int>(kReadings)) continue;
    speeds.push_back(reading.figure.permille / kPermille);
    samples += reading.figure.samples;
  }
  if (speeds.empty()) return 1;
  std::sort(speeds.begin(), speeds.end());
  const auto half = speeds.size() / 2;
  if (speeds.size() % 2 == 1) return speeds[half];
  return (speeds[half - 1] + speeds[half]) / 2;
}

void SpeedEstimate::take(const SpeedReport& own, const SpeedReport& told, net::TimePoint now) {
  if (now < taken_at_ + kSpeedReading) return;
  taken_at_ = now;
  readings_.at(next_) = {merged(own, told), now};
  next_ = (next_ + 1) % kReadings;
  int samples = 0;
  const double speed = median(now, samples);
  value_ = (speed * samples + kUsualSamples) / (samples + kUsualSamples);
}

}  // namespace sailgate::balancing
