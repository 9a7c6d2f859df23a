/// @file Attempt timeouts and retry backoff of an operation that is retried until its deadline.
#pragma once

#include <optional>

#include "base/random.hpp"
#include "net/asio.hpp"

namespace sailgate::store {

/// Not thread-safe.
class RetryBackoff {
 public:
  /// @param first_timeout timeout of the first attempt.
  RetryBackoff(net::TimePoint deadline, net::Millis first_timeout)
      : deadline_(deadline), attempt_timeout_(first_timeout) {}

  /// Timeout of the next attempt. It ends by the deadline, except that an attempt begun close to or
  /// after the deadline gets a short minimum.
  net::Millis attempt_timeout() const;
  bool time_left() const { return net::Clock::now() < deadline_; }
  /// Doubles the timeout of the next attempt after one without a response: the response may be late
  /// rather than lost, and a slow store must not be flooded with retries.
  void increase_timeout();
  /// Jittered exponential backoff before the next attempt; nullopt if it would reach the deadline.
  std::optional<net::Millis> next_backoff(base::Random& random);

 private:
  net::TimePoint deadline_;
  net::Millis attempt_timeout_;
  net::Millis backoff_ = kInitialBackoff;

  static constexpr net::Millis kInitialBackoff{30};
};

}  // namespace sailgate::store
