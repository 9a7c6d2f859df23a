/// @file Measures the arrival times of the events of one engine's stream.
#pragma once

#include <cstddef>
#include <optional>

#include "balancing/exchange_times.hpp"

namespace sailgate::serving {

/// Deterministic, not thread-safe.
class StreamTiming {
 public:
  /// @param began when the request was sent.
  /// @param prompt_cached whether the engine also ran the line's previous turn.
  StreamTiming(net::TimePoint began, bool prompt_cached)
      : started_(began), prompt_cached_(prompt_cached) {}

  /// Records events that arrived together.
  void record_events(std::size_t events, net::TimePoint now);
  /// Records that the last events were delivered to the caller. Nothing is read from the engine
  /// until then, so this time is not attributed to the engine.
  void record_delivery(net::TimePoint now) { blocked_ += now - last_; }
  /// @return nullopt if no event arrived.
  std::optional<balancing::StreamTimes> times(net::TimePoint ended) const;

 private:
  net::TimePoint started_;
  bool prompt_cached_;
  net::TimePoint first_{};
  net::TimePoint last_{};
  net::Clock::duration blocked_{};
  std::size_t gaps_ = 0;
};

}  // namespace sailgate::serving
