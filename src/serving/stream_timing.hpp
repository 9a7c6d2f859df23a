/// @file When the events of one engine's stream came.
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
      : began_(began), prompt_kept_(prompt_cached) {}

  /// So many events came together.
  void came(std::size_t events, net::TimePoint now);
  /// The caller took them only now: meanwhile nothing was read.
  void taken(net::TimePoint now) { held_ += now - last_; }
  /// @return nullopt when no event came.
  std::optional<balancing::StreamTimes> times(net::TimePoint ended) const;

 private:
  net::TimePoint began_;
  bool prompt_kept_;
  net::TimePoint first_{};
  net::TimePoint last_{};
  net::Clock::duration held_{};
  std::size_t gaps_ = 0;
};

}  // namespace sailgate::serving
