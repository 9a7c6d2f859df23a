#include "store/unchanging_rows.hpp"

#include <algorithm>
#include <utility>

#include "store/row_parts.hpp"

namespace sailgate::store {

namespace {

/// Minimum timeout of an attempt with hedging. Later responses are of no use to most turns.
constexpr net::Millis kMinHedgedTimeout{300};
constexpr net::Millis kMaxTimeout{700};
/// Minimum timeout, for an attempt that begins at the deadline.
constexpr net::Millis kMinAttemptTimeout{15};
/// Maximum delay between attempts while the store does not respond, so that its recovery is
/// detected promptly.
constexpr net::Millis kMaxHedgeDelay{320};
/// Backoff after all candidate partitions have refused.
constexpr net::Millis kInitialBackoff{15};
constexpr net::Millis kMaxBackoff{250};
/// Maximum number of attempts in flight per call.
constexpr std::size_t kMaxInFlight = 4;

net::Millis time_until(net::TimePoint deadline) {
  return std::chrono::duration_cast<net::Millis>(deadline - net::Clock::now());
}

/// Delays between the attempts of one call.
class AttemptSchedule {
 public:
  AttemptSchedule(net::Millis hedge_delay, base::Random& random)
      : hedge_delay_(hedge_delay), random_(random) {}

  /// Delay before the next attempt while one is in flight; doubles up to a maximum.
  net::Millis next_hedge_delay() {
    const auto delay = hedge_delay_;
    hedge_delay_ = std::min(hedge_delay_ * 2, std::max(delay, kMaxHedgeDelay));
    return delay;
  }
  /// Jittered exponential backoff after all partitions have refused.
  net::Millis next_backoff() {
    const auto jitter = random_.below(static_cast<std::uint64_t>(backoff_.count()) + 1);
    const auto backoff = backoff_ + net::Millis(static_cast<std::int64_t>(jitter));
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
    return backoff;
  }

 private:
  net::Millis hedge_delay_;
  net::Millis backoff_ = kInitialBackoff;
  base::Random& random_;
};

}  // namespace

net::Millis ImmutableRows::timeout_for_attempt(const HedgedCall& call,
                                               net::TimePoint deadline) const {
  const auto attempt_timeout = latency_.attempt_timeout();
  const auto sequential = std::min(attempt_timeout * (1 + call.rounds), kMaxTimeout);
  const auto timeout = hedging_ ? std::max(kMinHedgedTimeout, attempt_timeout) : sequential;
  return std::min(timeout, std::max(time_until(deadline), kMinAttemptTimeout));
}

void ImmutableRows::record(HedgedCall& call, const std::string& partition, StoreResult result,
                           net::TimePoint sent_at) {
  const auto now = net::Clock::now();
  latency_.note(result.status, std::chrono::duration_cast<net::Millis>(now - sent_at));
  health_.note(partition, answered(result.status), now);
  call.full = call.full || result.status == StoreStatus::kFull;
  call.throttled = call.throttled || result.status == StoreStatus::kThrottled;
  if (result.status == StoreStatus::kDone) {
    call.responses.emplace_back(partition, std::move(result));
  } else {
    // A refusal starts the next attempt at once. A time-out does not: the hedge delay has already
    // started one.
    const bool silent = result.status == StoreStatus::kUnknown;
    (silent ? call.failures : call.new_failures) += 1;
  }
}

net::asio::awaitable<void> ImmutableRows::attempt_put(HedgedCallPointer call,
                                                      Transaction transaction,
                                                      net::Millis timeout) {
  const std::weak_ptr<bool> alive = alive_;
  const auto partition = transaction.puts.front().id.part;
  const auto sent_at = net::Clock::now();
  auto result = co_await store_.transact(std::move(transaction), timeout);
  call->in_flight.erase(std::find(call->in_flight.begin(), call->in_flight.end(), partition));
  if (!alive.expired()) record(*call, partition, std::move(result), sent_at);
  const bool keep_waiting =
      call->responses.empty() && call->new_failures == 0 && !call->in_flight.empty();
  if (!keep_waiting) call->attempt_ended.cancel();
}

net::asio::awaitable<void> ImmutableRows::attempt_read(HedgedCallPointer call, RangeRead range,
                                                       net::Millis timeout) {
  const std::weak_ptr<bool> alive = alive_;
  const auto partition = range.part;
  const auto key = range.from_key;
  const auto sent_at = net::Clock::now();
  auto result = co_await store_.read(std::move(range), timeout);
  if (!result.rows.empty() && result.rows.front().id.key != key) result.rows.clear();
  call->in_flight.erase(std::find(call->in_flight.begin(), call->in_flight.end(), partition));
  if (!alive.expired()) record(*call, partition, std::move(result), sent_at);
  const bool keep_waiting =
      call->responses.empty() && call->new_failures == 0 && !call->in_flight.empty();
  if (!keep_waiting) call->attempt_ended.cancel();
}

std::string ImmutableRows::next_partition(HedgedCall& call, std::vector<std::string>& partitions) {
  const auto not_in_flight = [&](const std::string& partition) {
    return std::find(call.in_flight.begin(), call.in_flight.end(), partition) ==
           call.in_flight.end();
  };
  auto next = std::find_if(partitions.begin(), partitions.end(), not_in_flight);
  if (next == partitions.end()) next = partitions.begin();
  auto partition = *next;
  // Moves the partition to the end, so that all others are tried before it is tried again.
  std::rotate(next, next + 1, partitions.end());
  call.in_flight.push_back(partition);
  call.started = true;
  return partition;
}

bool ImmutableRows::round_failed(HedgedCall& call, std::size_t partitions) {
  call.failures += std::exchange(call.new_failures, 0);
  const bool throttled = std::exchange(call.throttled, false);
  if (call.failures < partitions && !throttled) return false;
  call.failures = 0;
  ++call.rounds;
  return true;
}

net::asio::awaitable<void> ImmutableRows::wait(HedgedCallPointer call, net::Millis max_wait) {
  if (!call->responses.empty() || call->new_failures > 0) co_return;
  call->attempt_ended.expires_after(std::max(max_wait, net::Millis(0)));
  net::Error ignored;
  co_await call->attempt_ended.async_wait(net::awaiting(ignored));
}

bool ImmutableRows::may_start_attempt(const HedgedCall& call, net::TimePoint deadline) const {
  if (!call.started) return true;
  const auto max_in_flight = hedging_ ? kMaxInFlight : 1;
  return time_until(deadline).count() > 0 && call.in_flight.size() < max_in_flight;
}

net::asio::awaitable<bool> ImmutableRows::put(std::string table, std::string key, std::string value,
                                              std::vector<Row> extra_rows,
                                              net::TimePoint deadline) {
  const auto call = std::make_shared<HedgedCall>(context_);
  AttemptSchedule schedule(latency_.hedge_delay(), random_);
  auto partitions = health_.order(candidate_partitions(key), net::Clock::now());
  while (true) {
    if (may_start_attempt(*call, deadline)) {
      const auto partition = next_partition(*call, partitions);
      Transaction transaction;
      transaction.puts.push_back({{table, partition, key}, value, 0, false});
      for (auto extra_row : extra_rows) {
        extra_row.id.part = partition;
        transaction.puts.push_back(std::move(extra_row));
      }
      const auto timeout = timeout_for_attempt(*call, deadline);
      net::asio::co_spawn(context_, attempt_put(call, std::move(transaction), timeout),
                          net::asio::detached);
    }
    co_await wait(call, schedule.next_hedge_delay());
    if (!call->responses.empty()) co_return true;
    if (call->full) co_return false;
    if (round_failed(*call, partitions.size())) co_await wait(call, schedule.next_backoff());
    if (!call->responses.empty()) co_return true;
    if (call->in_flight.empty() && time_until(deadline).count() <= 0) co_return false;
  }
}

net::asio::awaitable<RowLookupResult> ImmutableRows::find(std::string table, std::string key,
                                                          net::TimePoint deadline) {
  const auto call = std::make_shared<HedgedCall>(context_);
  AttemptSchedule schedule(latency_.hedge_delay(), random_);
  RowLookupResult found;
  auto unread = health_.order(candidate_partitions(key), net::Clock::now());
  while (true) {
    if (may_start_attempt(*call, deadline)) {
      RangeRead range;
      range.table = table;
      range.part = next_partition(*call, unread);
      range.from_key = key;
      range.limit = 1;
      const auto timeout = timeout_for_attempt(*call, deadline);
      net::asio::co_spawn(context_, attempt_read(call, std::move(range), timeout),
                          net::asio::detached);
    }
    co_await wait(call, schedule.next_hedge_delay());
    if (round_failed(*call, unread.size())) co_await wait(call, schedule.next_backoff());
    for (const auto& [partition, result] : std::exchange(call->responses, {})) {
      if (!result.rows.empty()) {
        found.lookup = RowLookup::kFound;
        found.value = result.rows.front().value;
        co_return found;
      }
      found.version = std::max(found.version, result.version);
      unread.erase(std::remove(unread.begin(), unread.end(), partition), unread.end());
    }
    if (unread.empty()) {
      found.lookup = RowLookup::kAbsent;
      co_return found;
    }
    if (call->in_flight.empty() && time_until(deadline).count() <= 0) co_return found;
  }
}

}  // namespace sailgate::store
