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
  double first_ms = 0;       ///< from the sending to the first event
  double event_ms = 0;       ///< between events; 0: not known
  double whole_ms = 0;       ///< from the sending to the end
  bool prompt_kept = false;  ///< the engine ran the line's last turn
};

/// Time of like exchanges over all engines of a service. Engines that work in batches take longer
/// for each step the more requests they run, so the time is what is usual, what that many requests
/// add, and what the engine is: only the last is its speed. Deterministic, not thread-safe.
class LoadedTime {
 public:
  /// @return natural logarithm of the sample over the usual time for such a load: the engine's
  /// slowness; 0 while the usual time is not known.
  double add(double milliseconds, const Engine& engine);
  const UsualTime& usual() const { return usual_; }

 private:
  /// Loads by quarters of the slots, to twice the slots.
  static constexpr int kLevelsPerSlots = 4;
  static constexpr int kLevels = 2 * kLevelsPerSlots + 1;
  static int level_of(const Engine& engine);

  UsualTime usual_;
  std::array<double, kLevels> added_{};  ///< by the load, natural logarithm
};

/// Learns the usual times of services and routes, and each engine's speed against them.
/// Deterministic, not thread-safe.
class ExchangeTimes {
 public:
  void note_stream(Engine& engine, const StreamTimes& times, net::TimePoint now);
  /// An answer that was passed on whole. @param route requests of a route are alike.
  void note_plain(Engine& engine, const std::string& route, double milliseconds,
                  net::TimePoint now);
  /// Time of a turn over the time in which its prompt is read anew, at the usual engine; 0: not
  /// known.
  double turn_over_reading(const std::string& service) const;

 private:
  struct Service {
    LoadedTime events;
    UsualTime first_kept;
    UsualTime first_anew;
    UsualTime turn_kept;
    std::map<std::string, LoadedTime> routes;
  };

  /// Configurations may grow by many routes; the usual times of so many of a service are kept.
  static constexpr std::size_t kMostRoutes = 256;

  std::map<std::string, Service> services_;
};

}  // namespace sailgate::balancing
