/// @file When the events of one engine's stream record_events.
#pragma once

#include <cstddef>
#include <optional>

#include "balancing/exchange_times.hpp"

namespace sailgate::serving {

/// Deterministic, not thread-safe.
class StreamTiming {
 public:
  /// @param began when the request was sent. @param prompt_cached the engine ran the line's last
  /// turn.
  StreamTiming(net::TimePoint began, bool prompt_cached)
      : started_(began), prompt_cached_(prompt_cached) {}

  /// So many events record_events together.
  void record_events(std::size_t events, net::TimePoint now);
  /// The caller took them only now: meanwhile nothing was read.
  void record_delivery(net::TimePoint now) { blocked_ += now - last_; }
  /// @return nullopt when no event record_events.
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
