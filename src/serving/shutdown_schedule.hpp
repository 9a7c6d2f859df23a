/// @file Phases of a graceful shutdown and the requests that can still be served in them.
#pragma once

#include <optional>

#include "net/asio.hpp"

namespace sailgate::serving {

/// Time that a request takes, as far as it is known.
struct RequestTiming {
  net::TimePoint deadline;
  std::optional<net::Millis> expected;  ///< high estimate for its route; nullopt: unknown
  bool streamed = false;                ///< once begun, the response cannot become an error
};

/// Deterministic, not thread-safe.
class ShutdownSchedule {
 public:
  /// @param grace time from here to the end of the process by force.
  void begin(net::TimePoint now, net::Millis grace);
  /// Applies a grace period that changed during the shutdown.
  void set_grace(net::Millis grace) { grace_ = grace; }
  bool begun() const { return began_.has_value(); }

  // The following require begun().

  /// When the listener and the idle connections close.
  net::TimePoint connections_close_at() const;
  /// When the process exits, whatever is in progress.
  net::TimePoint exits_at() const;
  /// Latest deadline of a request; leaves time to send the response.
  net::TimePoint last_deadline() const;
  /// Whether a request that arrives now would end before the process does.
  bool can_finish(const RequestTiming& request, net::TimePoint now) const;

 private:
  std::optional<net::TimePoint> began_;
  net::Millis grace_{0};
};

}  // namespace sailgate::serving
