#include "store/retrying_store.hpp"

namespace sailgate::store {

namespace {

net::Millis since(net::TimePoint start) {
  return std::chrono::duration_cast<net::Millis>(net::Clock::now() - start);
}

bool is_final(StoreStatus status) {
  return status == StoreStatus::kDone || status == StoreStatus::kConflict;
}

}  // namespace

std::optional<net::Millis> RetryingStore::next(Pace& pace, const StoreResult& result,
                                               net::TimePoint sent_at) {
  const auto took = since(sent_at);
  if (is_final(result.status)) {
    latency_.observe(took);
    return std::nullopt;
  }
  if (result.status != StoreStatus::kUnknown) return pace.next_pause(random_);
  latency_.note_silence(took);
  pace.grow_patience();
  if (!pace.time_left()) return std::nullopt;
  return net::Millis(0);
}

net::asio::awaitable<StoreResult> RetryingStore::transact(Transaction transaction,
                                                          net::TimePoint deadline) {
  auto pace = begin(deadline);
  while (true) {
    const auto sent_at = net::Clock::now();
    auto copy = transaction;
    auto result = co_await store_.transact(std::move(copy), pace.time_of_try());
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
    auto result = co_await store_.read(std::move(copy), pace.time_of_try());
    const auto pause = next(pace, result, sent_at);
    if (!pause) co_return result;
    if (pause->count() > 0) co_await net::sleep_for(context_, *pause);
  }
}

net::asio::awaitable<StoreResult> RetryingStore::transact_once(Transaction transaction,
                                                               Pace& pace) {
  const auto sent_at = net::Clock::now();
  auto result = co_await store_.transact(std::move(transaction), pace.time_of_try());
  if (is_final(result.status)) latency_.observe(since(sent_at));
  if (result.status == StoreStatus::kUnknown) {
    latency_.note_silence(since(sent_at));
    pace.grow_patience();
  }
  co_return result;
}

}  // namespace sailgate::store
