#include "store/retrying_store.hpp"

#include <algorithm>

namespace sailgate::store {

namespace {

/// A try that begins at the deadline is waited for this long.
constexpr net::Millis kShortestTry{15};
constexpr net::Millis kShortestPause{30};
constexpr net::Millis kLongestPause{250};
constexpr net::Millis kLongestPatience{700};

net::Millis since(net::TimePoint start) {
  return std::chrono::duration_cast<net::Millis>(net::Clock::now() - start);
}

bool is_final(StoreStatus status) {
  return status == StoreStatus::kDone || status == StoreStatus::kConflict;
}

}  // namespace

RetryingStore::Tries RetryingStore::begin(net::TimePoint deadline) const {
  return {deadline, latency_.patience(), kShortestPause};
}

net::Millis RetryingStore::Tries::time_of_try() const {
  const auto left = std::chrono::duration_cast<net::Millis>(deadline - net::Clock::now());
  return std::min(patience, std::max(left, kShortestTry));
}

std::optional<net::Millis> RetryingStore::next(Tries& tries, const StoreResult& result,
                                               net::TimePoint sent_at) {
  const auto took = since(sent_at);
  if (is_final(result.status)) {
    latency_.observe(took);
    return std::nullopt;
  }
  net::Millis pause{0};
  if (result.status == StoreStatus::kUnknown) {
    // NOTE: the answer may be lost or late: patience grows, so that a slow store is not flooded.
    latency_.note_silence(took);
    tries.patience = std::min(tries.patience * 2, kLongestPatience);
  } else {
    const auto jitter = random_.below(static_cast<std::uint64_t>(tries.pause.count()));
    pause = tries.pause / 2 + net::Millis(static_cast<std::int64_t>(jitter));
    tries.pause = std::min(tries.pause * 2, kLongestPause);
  }
  if (net::Clock::now() + pause >= tries.deadline) return std::nullopt;
  return pause;
}

net::asio::awaitable<StoreResult> RetryingStore::transact(Transaction transaction,
                                                          net::TimePoint deadline) {
  auto tries = begin(deadline);
  while (true) {
    const auto sent_at = net::Clock::now();
    auto copy = transaction;
    auto result = co_await store_.transact(std::move(copy), tries.time_of_try());
    const auto pause = next(tries, result, sent_at);
    if (!pause) co_return result;
    if (pause->count() > 0) co_await net::sleep_for(context_, *pause);
  }
}

net::asio::awaitable<StoreResult> RetryingStore::read(RangeRead range, net::TimePoint deadline) {
  auto tries = begin(deadline);
  while (true) {
    const auto sent_at = net::Clock::now();
    auto copy = range;
    auto result = co_await store_.read(std::move(copy), tries.time_of_try());
    const auto pause = next(tries, result, sent_at);
    if (!pause) co_return result;
    if (pause->count() > 0) co_await net::sleep_for(context_, *pause);
  }
}

net::asio::awaitable<StoreResult> RetryingStore::transact_once(Transaction transaction,
                                                               net::TimePoint deadline) {
  auto tries = begin(deadline);
  const auto sent_at = net::Clock::now();
  auto result = co_await store_.transact(std::move(transaction), tries.time_of_try());
  next(tries, result, sent_at);
  co_return result;
}

net::asio::awaitable<StoreResult> RetryingStore::read_once(RangeRead range,
                                                           net::TimePoint deadline) {
  auto tries = begin(deadline);
  const auto sent_at = net::Clock::now();
  auto result = co_await store_.read(std::move(range), tries.time_of_try());
  next(tries, result, sent_at);
  co_return result;
}

}  // namespace sailgate::store
