#include "balancing/engine_speed.hpp"

#include <algorithm>
#include <cmath>

#include "net/milliseconds.hpp"

namespace sailgate::balancing {

namespace {

constexpr double kDecayMs = static_cast<double>(kSpeedSampleInterval.count());
constexpr double kPermille = 1000;
/// Limit for a single sample, equal to the range of speeds: a hanging exchange is no measure of the
/// engine's speed.
const double kMaxSlowness = std::log(kPermille / kMinPermille);

}  // namespace

double EngineSpeed::decay_factor(net::TimePoint now) const {
  return std::exp(-std::max(net::milliseconds_between(updated_at_, now), 0.0) / kDecayMs);
}

void EngineSpeed::add(double slowness, net::TimePoint now) {
  if (!std::isfinite(slowness)) return;
  const double decay = decay_factor(now);
  slowness_ = slowness_ * decay + std::clamp(slowness, -kMaxSlowness, kMaxSlowness);
  weight_ = weight_ * decay + 1;
  updated_at_ = std::max(updated_at_, now);
}

SpeedReport EngineSpeed::figure(net::TimePoint now) const {
  SpeedReport figure;
  figure.samples = static_cast<int>(std::lround(weight_ * decay_factor(now)));
  if (figure.samples == 0) return figure;
  const double speed = kPermille * std::exp(-slowness_ / weight_);
  figure.permille = std::clamp(static_cast<int>(std::lround(speed)), kMinPermille, kMaxPermille);
  return figure;
}

}  // namespace sailgate::balancing
