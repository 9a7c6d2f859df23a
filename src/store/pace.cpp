#include "store/pace.hpp"

#include <algorithm>

namespace sailgate::store {

namespace {

/// Minimum timeout, for an attempt that begins at the deadline.
constexpr net::Millis kMinAttemptTimeout{15};
constexpr net::Millis kMaxBackoff{250};
constexpr net::Millis kMaxAttemptTimeout{700};

}  // namespace

net::Millis RetryBackoff::attempt_timeout() const {
  const auto remaining = std::chrono::duration_cast<net::Millis>(deadline_ - net::Clock::now());
  return std::min(attempt_timeout_, std::max(remaining, kMinAttemptTimeout));
}

void RetryBackoff::increase_timeout() {
  attempt_timeout_ = std::min(attempt_timeout_ * 2, kMaxAttemptTimeout);
}

std::optional<net::Millis> RetryBackoff::next_backoff(base::Random& random) {
  const auto jitter = random.below(static_cast<std::uint64_t>(backoff_.count()));
  const auto backoff = backoff_ / 2 + net::Millis(static_cast<std::int64_t>(jitter));
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  if (net::Clock::now() + backoff >= deadline_) return std::nullopt;
  return backoff;
}

}  // namespace sailgate::store
