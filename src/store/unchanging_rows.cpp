#include "store/unchanging_rows.hpp"

#include <algorithm>

#include "store/row_parts.hpp"

namespace sailgate::store {

bool UnchangingRows::note(const Pace& pace, const std::string& part, StoreStatus status,
                          net::TimePoint sent_at) {
  const auto now = net::Clock::now();
  const auto took = std::chrono::duration_cast<net::Millis>(now - sent_at);
  latency_.note(status, took);
  health_.note(part, answered(status), now);
  return pace.time_left();
}

net::asio::awaitable<bool> UnchangingRows::pause(Pace& pace) {
  const auto wait = pace.next_pause(random_);
  if (!wait) co_return false;
  co_await net::sleep_for(context_, *wait);
  pace.grow_patience();
  co_return true;
}

net::asio::awaitable<bool> UnchangingRows::put(std::string table, std::string key,
                                               std::string value, std::vector<Row> companions,
                                               net::TimePoint deadline) {
  Pace pace(deadline, latency_.patience());
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
      const auto result = co_await store_.transact(std::move(transaction), pace.time_of_try());
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
  Pace pace(deadline, latency_.patience());
  RowFound found;
  auto unread = candidate_parts(key);
  do {
    for (const auto& part : health_.order(unread, net::Clock::now())) {
      const auto sent_at = net::Clock::now();
      const auto result = co_await read(table, part, key, pace.time_of_try());
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
