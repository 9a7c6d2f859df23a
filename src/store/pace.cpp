#include "store/pace.hpp"

#include <algorithm>

namespace sailgate::store {

namespace {

/// A try that begins at the deadline is waited for this long.
constexpr net::Millis kShortestTry{15};
constexpr net::Millis kLongestPause{250};
constexpr net::Millis kLongestPatience{700};

}  // namespace

net::Millis RetryBackoff::attempt_timeout() const {
  const auto left = std::chrono::duration_cast<net::Millis>(deadline_ - net::Clock::now());
  return std::min(patience_, std::max(left, kShortestTry));
}

void RetryBackoff::increase_timeout() { patience_ = std::min(patience_ * 2, kLongestPatience); }

std::optional<net::Millis> RetryBackoff::next_backoff(base::Random& random) {
  const auto jitter = random.below(static_cast<std::uint64_t>(pause_.count()));
  const auto pause = pause_ / 2 + net::Millis(static_cast<std::int64_t>(jitter));
  pause_ = std::min(pause_ * 2, kLongestPause);
  if (net::Clock::now() + pause >= deadline_) return std::nullopt;
  return pause;
}

}  // namespace sailgate::store
