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

SpeedFigure merged(const SpeedFigure& own, const SpeedFigure& told) {
  std::int64_t samples = 0;
  std::int64_t sum = 0;
  for (const auto& figure : {own, told}) {
    if (figure.samples <= 0) continue;
    const std::int64_t counted = std::min(figure.samples, kMostSamples);
    samples += counted;
    sum += counted * std::clamp(figure.permille, kLeastPermille, kMostPermille);
  }
  if (samples == 0) return {};
  return {static_cast<int>(sum / samples), static_cast<int>(samples)};
}

double BelievedSpeed::median(net::TimePoint now, int& samples) const {
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

void BelievedSpeed::take(const SpeedFigure& own, const SpeedFigure& told, net::TimePoint now) {
  if (now < taken_at_ + kSpeedReading) return;
  taken_at_ = now;
  readings_.at(next_) = {merged(own, told), now};
  next_ = (next_ + 1) % kReadings;
  int samples = 0;
  const double speed = median(now, samples);
  value_ = (speed * samples + kUsualSamples) / (samples + kUsualSamples);
}

}  // namespace sailgate::balancing
