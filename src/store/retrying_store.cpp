#include "store/retrying_store.hpp"

namespace sailgate::store {

namespace {

net::Millis elapsed_since(net::TimePoint start) {
  return std::chrono::duration_cast<net::Millis>(net::Clock::now() - start);
}

}  // namespace

std::optional<net::Millis> RetryingStore::next_delay(RetryBackoff& backoff,
                                                     const StoreResult& result,
                                                     net::TimePoint sent_at) {
  latency_.note(result.status, elapsed_since(sent_at));
  // A full store stays full for seconds, so that retries would only add load.
  if (reached(result.status)) return std::nullopt;
  if (result.status != StoreStatus::kUnknown) return backoff.next_backoff(random_);
  backoff.increase_timeout();
  if (!backoff.time_left()) return std::nullopt;
  return net::Millis(0);
}

net::asio::awaitable<StoreResult> RetryingStore::transact(Transaction transaction,
                                                          net::TimePoint deadline) {
  auto backoff = begin(deadline);
  while (true) {
    const auto sent_at = net::Clock::now();
    auto copy = transaction;
    auto result = co_await store_.transact(std::move(copy), backoff.attempt_timeout());
    const auto delay = next_delay(backoff, result, sent_at);
    if (!delay) co_return result;
    if (delay->count() > 0) co_await net::sleep_for(context_, *delay);
  }
}

net::asio::awaitable<StoreResult> RetryingStore::read(RangeRead range, net::TimePoint deadline) {
  auto backoff = begin(deadline);
  while (true) {
    const auto sent_at = net::Clock::now();
    auto copy = range;
    auto result = co_await store_.read(std::move(copy), backoff.attempt_timeout());
    const auto delay = next_delay(backoff, result, sent_at);
    if (!delay) co_return result;
    if (delay->count() > 0) co_await net::sleep_for(context_, *delay);
  }
}

net::asio::awaitable<StoreResult> RetryingStore::transact_once(Transaction transaction,
                                                               RetryBackoff& backoff) {
  const auto sent_at = net::Clock::now();
  auto result = co_await store_.transact(std::move(transaction), backoff.attempt_timeout());
  latency_.note(result.status, elapsed_since(sent_at));
  if (result.status == StoreStatus::kUnknown) backoff.increase_timeout();
  co_return result;
}

}  // namespace sailgate::store
