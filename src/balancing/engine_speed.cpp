#include "balancing/engine_speed.hpp"

#include <algorithm>
#include <cmath>

#include "net/milliseconds.hpp"

namespace sailgate::balancing {

namespace {

constexpr double kFadeMillis = static_cast<double>(kSpeedReading.count());
constexpr double kPermille = 1000;
/// One exchange says no more than the bounds of speed: one that hangs is no measure of the engine.
const double kMostSlowness = std::log(kPermille / kMinPermille);

}  // namespace

double EngineSpeed::kept(net::TimePoint now) const {
  return std::exp(-std::max(net::milliseconds_between(noted_at_, now), 0.0) / kFadeMillis);
}

void EngineSpeed::add(double slowness, net::TimePoint now) {
  if (!std::isfinite(slowness)) return;
  const double part = kept(now);
  slowness_ = slowness_ * part + std::clamp(slowness, -kMostSlowness, kMostSlowness);
  weight_ = weight_ * part + 1;
  noted_at_ = std::max(noted_at_, now);
}

SpeedReport EngineSpeed::figure(net::TimePoint now) const {
  SpeedReport figure;
  figure.samples = static_cast<int>(std::lround(weight_ * kept(now)));
  if (figure.samples == 0) return figure;
  const double speed = kPermille * std::exp(-slowness_ / weight_);
  figure.permille = std::clamp(static_cast<int>(std::lround(speed)), kMinPermille, kMaxPermille);
  return figure;
}

}  // namespace sailgate::balancing
