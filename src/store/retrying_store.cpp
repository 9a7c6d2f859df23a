#include "store/retrying_store.hpp"

namespace sailgate::store {

namespace {

net::Millis since(net::TimePoint start) {
  return std::chrono::duration_cast<net::Millis>(net::Clock::now() - start);
}

}  // namespace

std::optional<net::Millis> RetryingStore::next(RetryBackoff& pace, const StoreResult& result,
                                               net::TimePoint sent_at) {
  latency_.note(result.status, since(sent_at));
  // A full store stays full for seconds: what is asked again only adds to its calls.
  if (reached(result.status)) return std::nullopt;
  if (result.status != StoreStatus::kUnknown) return pace.next_backoff(random_);
  pace.increase_timeout();
  if (!pace.time_left()) return std::nullopt;
  return net::Millis(0);
}

net::asio::awaitable<StoreResult> RetryingStore::transact(Transaction transaction,
                                                          net::TimePoint deadline) {
  auto pace = begin(deadline);
  while (true) {
    const auto sent_at = net::Clock::now();
    auto copy = transaction;
    auto result = co_await store_.transact(std::move(copy), pace.attempt_timeout());
    const auto pause = next(pace, result, sent_at);
    if (!pause) co_return result;
    if (pause->count() > 0) co_await net::sleep_for(context_, *pause);
  }
}

net::asio::awaitable<StoreResult> RetryingStore::read(RangeRead range, net::TimePoint deadline) {
  auto pace = begin(deadline);
  while (true) {
    const auto sent_at = net::Clock::now();
    auto copy = range;
    auto result = co_await store_.read(std::move(copy), pace.attempt_timeout());
    const auto pause = next(pace, result, sent_at);
    if (!pause) co_return result;
    if (pause->count() > 0) co_await net::sleep_for(context_, *pause);
  }
}

net::asio::awaitable<StoreResult> RetryingStore::transact_once(Transaction transaction,
                                                               RetryBackoff& pace) {
  const auto sent_at = net::Clock::now();
  auto result = co_await store_.transact(std::move(transaction), pace.attempt_timeout());
  latency_.note(result.status, since(sent_at));
  if (result.status == StoreStatus::kUnknown) pace.increase_timeout();
  co_return result;
}

}  // namespace sailgate::store
