/// @file Durations of the requests of each route.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "serving/turn_times.hpp"

namespace sailgate::serving {

/// Learns how long complete responses take, from the arrival of the request. Deterministic, not
/// thread-safe.
class RouteDurations {
 public:
  void observe(const std::string& route, net::Millis took) {
    // Names of routes that no longer exist are not worth telling from the others.
    if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0) routes_.clear();
    routes_[route].observe(took);
  }
  static constexpr double kDeviations = 4;  ///< covers about 49 of 50 exponential durations

  /// Duration that nearly all requests stay within; nullopt if none was observed.
  std::optional<net::Millis> high_estimate(const std::string& route) const {
    const auto known = routes_.find(route);
    if (known == routes_.end()) return std::nullopt;
    return known->second.upper_estimate(kDeviations);
  }

 private:
  static constexpr std::size_t kMaxRoutes = 4096;

  std::unordered_map<std::string, TurnDurationEstimator> routes_;
};

}  // namespace sailgate::serving
