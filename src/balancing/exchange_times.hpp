/// @file Measurement of engine speed from this node's own exchanges.
#pragma once

#include <array>
#include <map>
#include <string>

#include "balancing/engine.hpp"
#include "balancing/usual_time.hpp"

namespace sailgate::balancing {

/// Timing of a stream that an engine completed.
struct StreamTimes {
  double first_event_ms = 0;     ///< from sending the request to the first event
  double mean_event_gap_ms = 0;  ///< mean time between events; 0: unknown
  double total_ms = 0;           ///< from sending the request to the end of the stream
  bool prompt_cached = false;    ///< the engine also ran the line's previous turn
};

/// Typical time of similar exchanges over all engines of a service, adjusted for load. Engines that
/// batch requests take longer per step the more requests they run, so a duration is modelled as
/// typical time, load term and engine speed; only the last is attributed to the engine.
/// Deterministic, not thread-safe.
class LoadAdjustedTime {
 public:
  /// @return the engine's slowness: natural logarithm of the sample divided by the typical time at
  /// this load; 0 while the typical time is unknown.
  double add(double milliseconds, const Engine& engine);
  const RunningMedian& typical() const { return typical_; }

 private:
  /// Load levels in quarters of the slots, up to twice the slots.
  static constexpr int kLevelsPerFullLoad = 4;
  static constexpr int kLevels = 2 * kLevelsPerFullLoad + 1;
  static int level_of(const Engine& engine);

  RunningMedian typical_;
  std::array<double, kLevels> load_terms_{};  ///< by load level, as natural logarithms
};

/// Learns the typical times of services and routes, and each engine's speed relative to them.
/// Deterministic, not thread-safe.
class ExchangeTimes {
 public:
  void record_stream(Engine& engine, const StreamTimes& times, net::TimePoint now);
  /// Records a completed non-streaming call.
  /// @param route requests of the same route are comparable.
  void record_plain_call(Engine& engine, const std::string& route, double milliseconds,
                         net::TimePoint now);
  /// Time of a turn divided by the time to prefill its prompt, at an engine of normal speed; 0:
  /// unknown.
  double turn_to_prefill_ratio(const std::string& service) const;

 private:
  struct Service {
    LoadAdjustedTime events;
    RunningMedian first_event_cached;
    RunningMedian first_event_uncached;
    RunningMedian turn_cached;
    std::map<std::string, LoadAdjustedTime> routes;
  };

  /// Limit of routes per service with learned times, since configurations can add many routes.
  static constexpr std::size_t kMaxRoutes = 256;

  std::map<std::string, Service> services_;
};

}  // namespace sailgate::balancing
