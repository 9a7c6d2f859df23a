#include "store/unchanging_rows.hpp"

#include <algorithm>
#include <utility>

#include "store/row_parts.hpp"

namespace sailgate::store {

namespace {

/// A try is waited for at least so long: answers that come later are of no use to most turns.
constexpr net::Millis kShortestLimit{300};
constexpr net::Millis kLongestLimit{700};
/// A try that begins at the deadline is waited for this long.
constexpr net::Millis kShortestTry{15};
/// Further tries begin at least so often while the store is silent: its return is not missed.
constexpr net::Millis kLongestGap{320};
/// Pause after all candidate parts refused.
constexpr net::Millis kFirstPause{15};
constexpr net::Millis kLongestPause{250};
/// Tries that are under way at once, at most.
constexpr std::size_t kMostUnderWay = 4;

net::Millis left_until(net::TimePoint deadline) {
  return std::chrono::duration_cast<net::Millis>(deadline - net::Clock::now());
}

/// Times between the tries of one call.
class Gaps {
 public:
  Gaps(net::Millis hedge_delay, base::Random& random) : gap_(hedge_delay), random_(random) {}

  /// Until the next try while one is under way; longer each time.
  net::Millis next_gap() {
    const auto gap = gap_;
    gap_ = std::min(gap_ * 2, std::max(gap, kLongestGap));
    return gap;
  }
  /// Until the next try after all parts refused; jittered, longer each time.
  net::Millis next_backoff() {
    const auto jitter = random_.below(static_cast<std::uint64_t>(pause_.count()) + 1);
    const auto pause = pause_ + net::Millis(static_cast<std::int64_t>(jitter));
    pause_ = std::min(pause_ * 2, kLongestPause);
    return pause;
  }

 private:
  net::Millis gap_;
  net::Millis pause_ = kFirstPause;
  base::Random& random_;
};

}  // namespace

net::Millis ImmutableRows::limit_of_try(const Race& race, net::TimePoint deadline) const {
  const auto attempt_timeout = latency_.attempt_timeout();
  const auto alone = std::min(attempt_timeout * (1 + race.rounds), kLongestLimit);
  const auto limit = overlapping_ ? std::max(kShortestLimit, attempt_timeout) : alone;
  return std::min(limit, std::max(left_until(deadline), kShortestTry));
}

void ImmutableRows::take(Race& race, const std::string& part, StoreResult result,
                         net::TimePoint sent_at) {
  const auto now = net::Clock::now();
  latency_.note(result.status, std::chrono::duration_cast<net::Millis>(now - sent_at));
  health_.note(part, answered(result.status), now);
  race.full = race.full || result.status == StoreStatus::kFull;
  race.throttled = race.throttled || result.status == StoreStatus::kThrottled;
  if (result.status == StoreStatus::kDone) {
    race.answers.emplace_back(part, std::move(result));
  } else {
    // A refusal is followed by the next try at once; silence was followed by one when it began.
    const bool silent = result.status == StoreStatus::kUnknown;
    (silent ? race.failures : race.failed) += 1;
  }
}

net::asio::awaitable<void> ImmutableRows::try_put(RacePointer race, Transaction transaction,
                                                  net::Millis limit) {
  const std::weak_ptr<bool> alive = alive_;
  const auto part = transaction.puts.front().id.part;
  const auto sent_at = net::Clock::now();
  auto result = co_await store_.transact(std::move(transaction), limit);
  race->under_way.erase(std::find(race->under_way.begin(), race->under_way.end(), part));
  if (!alive.expired()) take(*race, part, std::move(result), sent_at);
  const bool silence = race->answers.empty() && race->failed == 0 && !race->under_way.empty();
  if (!silence) race->ended.cancel();
}

net::asio::awaitable<void> ImmutableRows::try_read(RacePointer race, RangeRead range,
                                                   net::Millis limit) {
  const std::weak_ptr<bool> alive = alive_;
  const auto part = range.part;
  const auto key = range.from_key;
  const auto sent_at = net::Clock::now();
  auto result = co_await store_.read(std::move(range), limit);
  if (!result.rows.empty() && result.rows.front().id.key != key) result.rows.clear();
  race->under_way.erase(std::find(race->under_way.begin(), race->under_way.end(), part));
  if (!alive.expired()) take(*race, part, std::move(result), sent_at);
  const bool silence = race->answers.empty() && race->failed == 0 && !race->under_way.empty();
  if (!silence) race->ended.cancel();
}

std::string ImmutableRows::next_part(Race& race, std::vector<std::string>& parts) {
  const auto idle = [&](const std::string& part) {
    return std::find(race.under_way.begin(), race.under_way.end(), part) == race.under_way.end();
  };
  auto next = std::find_if(parts.begin(), parts.end(), idle);
  if (next == parts.end()) next = parts.begin();
  auto part = *next;
  // What was tried comes last then: the other parts are tried before it is again.
  std::rotate(next, next + 1, parts.end());
  race.under_way.push_back(part);
  race.begun = true;
  return part;
}

bool ImmutableRows::round_failed(Race& race, std::size_t parts) {
  race.failures += std::exchange(race.failed, 0);
  const bool throttled = std::exchange(race.throttled, false);
  if (race.failures < parts && !throttled) return false;
  race.failures = 0;
  ++race.rounds;
  return true;
}

net::asio::awaitable<void> ImmutableRows::wait(RacePointer race, net::Millis longest) {
  if (!race->answers.empty() || race->failed > 0) co_return;
  race->ended.expires_after(std::max(longest, net::Millis(0)));
  net::Error ignored;
  co_await race->ended.async_wait(net::awaiting(ignored));
}

bool ImmutableRows::may_begin_try(const Race& race, net::TimePoint deadline) const {
  if (!race.begun) return true;
  const auto most = overlapping_ ? kMostUnderWay : 1;
  return left_until(deadline).count() > 0 && race.under_way.size() < most;
}

net::asio::awaitable<bool> ImmutableRows::put(std::string table, std::string key, std::string value,
                                              std::vector<Row> companions,
                                              net::TimePoint deadline) {
  const auto race = std::make_shared<Race>(context_);
  Gaps gaps(latency_.hedge_delay(), random_);
  auto parts = health_.order(candidate_partitions(key), net::Clock::now());
  while (true) {
    if (may_begin_try(*race, deadline)) {
      const auto part = next_part(*race, parts);
      Transaction transaction;
      transaction.puts.push_back({{table, part, key}, value, 0, false});
      for (auto companion : companions) {
        companion.id.part = part;
        transaction.puts.push_back(std::move(companion));
      }
      const auto limit = limit_of_try(*race, deadline);
      net::asio::co_spawn(context_, try_put(race, std::move(transaction), limit),
                          net::asio::detached);
    }
    co_await wait(race, gaps.next_gap());
    if (!race->answers.empty()) co_return true;
    if (race->full) co_return false;
    if (round_failed(*race, parts.size())) co_await wait(race, gaps.next_backoff());
    if (!race->answers.empty()) co_return true;
    if (race->under_way.empty() && left_until(deadline).count() <= 0) co_return false;
  }
}

net::asio::awaitable<RowLookupResult> ImmutableRows::find(std::string table, std::string key,
                                                          net::TimePoint deadline) {
  const auto race = std::make_shared<Race>(context_);
  Gaps gaps(latency_.hedge_delay(), random_);
  RowLookupResult found;
  auto unread = health_.order(candidate_partitions(key), net::Clock::now());
  while (true) {
    if (may_begin_try(*race, deadline)) {
      RangeRead range;
      range.table = table;
      range.part = next_part(*race, unread);
      range.from_key = key;
      range.limit = 1;
      const auto limit = limit_of_try(*race, deadline);
      net::asio::co_spawn(context_, try_read(race, std::move(range), limit), net::asio::detached);
    }
    co_await wait(race, gaps.next_gap());
    if (round_failed(*race, unread.size())) co_await wait(race, gaps.next_backoff());
    for (const auto& [part, result] : std::exchange(race->answers, {})) {
      if (!result.rows.empty()) {
        found.lookup = RowLookup::kFound;
        found.value = result.rows.front().value;
        co_return found;
      }
      found.version = std::max(found.version, result.version);
      unread.erase(std::remove(unread.begin(), unread.end(), part), unread.end());
    }
    if (unread.empty()) {
      found.lookup = RowLookup::kAbsent;
      co_return found;
    }
    if (race->under_way.empty() && left_until(deadline).count() <= 0) co_return found;
  }
}

}  // namespace sailgate::store
