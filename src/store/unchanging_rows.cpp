#include "store/unchanging_rows.hpp"

#include <algorithm>

#include "store/row_parts.hpp"

namespace sailgate::store {

namespace {

/// A try that begins at the deadline is waited for this long.
constexpr net::Millis kShortestTry{15};
constexpr net::Millis kShortestPause{30};
constexpr net::Millis kLongestPause{250};
constexpr net::Millis kLongestPatience{700};

bool answered(StoreStatus status) {
  return status == StoreStatus::kDone || status == StoreStatus::kConflict;
}

}  // namespace

UnchangingRows::Pace UnchangingRows::begin(net::TimePoint deadline) const {
  return {deadline, latency_.patience(), kShortestPause};
}

net::Millis UnchangingRows::time_of_try(const Pace& pace) {
  const auto left = std::chrono::duration_cast<net::Millis>(pace.deadline - net::Clock::now());
  return std::min(pace.patience, std::max(left, kShortestTry));
}

bool UnchangingRows::note(const Pace& pace, const std::string& part, StoreStatus status,
                          net::TimePoint sent_at) {
  const auto now = net::Clock::now();
  const auto took = std::chrono::duration_cast<net::Millis>(now - sent_at);
  if (answered(status)) latency_.observe(took);
  if (status == StoreStatus::kUnknown) latency_.note_silence(took);
  health_.note(part, answered(status), now);
  return now < pace.deadline;
}

net::asio::awaitable<bool> UnchangingRows::pause(Pace& pace) {
  const auto jitter = random_.below(static_cast<std::uint64_t>(pace.pause.count()));
  const auto wait = pace.pause / 2 + net::Millis(static_cast<std::int64_t>(jitter));
  if (net::Clock::now() + wait >= pace.deadline) co_return false;
  co_await net::sleep_for(context_, wait);
  pace.pause = std::min(pace.pause * 2, kLongestPause);
  pace.patience = std::min(pace.patience * 2, kLongestPatience);
  co_return true;
}

net::asio::awaitable<bool> UnchangingRows::put(std::string table, std::string key,
                                               std::string value, std::vector<Row> companions,
                                               net::TimePoint deadline) {
  auto pace = begin(deadline);
  do {
    const auto parts = health_.order(candidate_parts(key), net::Clock::now());
    for (const auto& part : parts) {
      Row row;
      row.id = {table, part, key};
      row.value = value;
      Transaction transaction;
      transaction.puts.push_back(std::move(row));
      for (auto companion : companions) {
        companion.id.part = part;
        transaction.puts.push_back(std::move(companion));
      }
      const auto sent_at = net::Clock::now();
      const auto result = co_await store_.transact(std::move(transaction), time_of_try(pace));
      if (result.status == StoreStatus::kDone) {
        note(pace, part, result.status, sent_at);
        co_return true;
      }
      if (!note(pace, part, result.status, sent_at)) co_return false;
    }
  } while (co_await pause(pace));
  co_return false;
}

net::asio::awaitable<StoreResult> UnchangingRows::read(std::string table, std::string part,
                                                       std::string key, net::Millis timeout) {
  RangeRead range;
  range.table = std::move(table);
  range.part = std::move(part);
  range.from_key = key;
  range.limit = 1;
  auto result = co_await store_.read(std::move(range), timeout);
  if (!result.rows.empty() && result.rows.front().id.key != key) result.rows.clear();
  co_return result;
}

net::asio::awaitable<RowFound> UnchangingRows::find(std::string table, std::string key,
                                                    net::TimePoint deadline) {
  auto pace = begin(deadline);
  RowFound found;
  auto unread = candidate_parts(key);
  do {
    for (const auto& part : health_.order(unread, net::Clock::now())) {
      const auto sent_at = net::Clock::now();
      const auto result = co_await read(table, part, key, time_of_try(pace));
      const bool time_left = note(pace, part, result.status, sent_at);
      if (result.status == StoreStatus::kDone && !result.rows.empty()) {
        found.lookup = RowLookup::kFound;
        found.value = result.rows.front().value;
        co_return found;
      }
      if (result.status == StoreStatus::kDone) {
        found.version = result.version;
        unread.erase(std::find(unread.begin(), unread.end(), part));
      }
      if (!time_left) co_return found;
    }
    if (unread.empty()) {
      found.lookup = RowLookup::kAbsent;
      co_return found;
    }
  } while (co_await pause(pace));
  co_return found;
}

}  // namespace sailgate::store
