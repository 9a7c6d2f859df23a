/// @file What this node's own exchanges tell of engines' speed.
#pragma once

#include <array>
#include <map>
#include <string>

#include "balancing/engine.hpp"
#include "balancing/usual_time.hpp"

namespace sailgate::balancing {

/// One stream that an engine ran whole.
struct StreamTimes {
  double first_event_ms = 0;     ///< from the sending to the first event
  double mean_event_gap_ms = 0;  ///< between events; 0: not known
  double total_ms = 0;           ///< from the sending to the end
  bool prompt_cached = false;    ///< the engine ran the line's last turn
};

/// Time of like exchanges over all engines of a service. Engines that work in batches take longer
/// for each step the more requests they run, so the time is what is usual, what that many requests
/// add, and what the engine is: only the last is its speed. Deterministic, not thread-safe.
class LoadAdjustedTime {
 public:
  /// @return natural logarithm of the sample over the usual time for such a load: the engine's
  /// slowness; 0 while the usual time is not known.
  double add(double milliseconds, const Engine& engine);
  const RunningMedian& usual() const { return usual_; }

 private:
  /// Loads by quarters of the slots, to twice the slots.
  static constexpr int kLevelsPerSlots = 4;
  static constexpr int kLevels = 2 * kLevelsPerSlots + 1;
  static int level_of(const Engine& engine);

  RunningMedian usual_;
  std::array<double, kLevels> added_{};  ///< by the load, natural logarithm
};

/// Learns the usual times of services and routes, and each engine's speed against them.
/// Deterministic, not thread-safe.
class ExchangeTimes {
 public:
  void record_stream(Engine& engine, const StreamTimes& times, net::TimePoint now);
  /// An answer that was passed on whole. @param route requests of a route are alike.
  void record_plain_call(Engine& engine, const std::string& route, double milliseconds,
                         net::TimePoint now);
  /// Time of a turn over the time in which its prompt is read anew, at the usual engine; 0: not
  /// known.
  double turn_to_prefill_ratio(const std::string& service) const;

 private:
  struct Service {
    LoadAdjustedTime events;
    RunningMedian first_kept;
    RunningMedian first_anew;
    RunningMedian turn_kept;
    std::map<std::string, LoadAdjustedTime> routes;
  };

  /// Configurations may grow by many routes; the usual times of so many of a service are kept.
  static constexpr std::size_t kMostRoutes = 256;

  std::map<std::string, Service> services_;
};

}  // namespace sailgate::balancing
