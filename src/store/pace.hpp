/// @file Patience and pauses of an operation that is tried until its deadline.
#pragma once

#include <optional>

#include "base/random.hpp"
#include "net/asio.hpp"

namespace sailgate::store {

/// Not thread-safe.
class RetryBackoff {
 public:
  /// @param patience how long the first try is waited for.
  RetryBackoff(net::TimePoint deadline, net::Millis patience)
      : deadline_(deadline), patience_(patience) {}

  /// How long the next try is waited for: not beyond the deadline, but a try that begins there is
  /// given a moment.
  net::Millis attempt_timeout() const;
  bool time_left() const { return net::Clock::now() < deadline_; }
  /// A try had no answer: the answer may be lost or late, so that the next one is waited for longer
  /// and a slow store is not flooded.
  void increase_timeout();
  /// Jittered pause before the next try, longer each time; nullopt when the deadline comes first.
  std::optional<net::Millis> next_backoff(base::Random& random);

 private:
  net::TimePoint deadline_;
  net::Millis patience_;
  net::Millis pause_ = kShortestPause;

  static constexpr net::Millis kShortestPause{30};
};

}  // namespace sailgate::store
