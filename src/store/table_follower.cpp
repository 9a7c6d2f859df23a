#include "store/table_follower.hpp"

#include <algorithm>

namespace sailgate::store {

namespace {

/// The store responds to a feed request without changes after this time.
constexpr net::Millis kFeedWait{2000};
/// Timeout of a feed request; must exceed kFeedWait.
constexpr net::Millis kFeedTimeout{2500};
constexpr net::Millis kReadTimeout{800};
constexpr net::Millis kRetryDelay{150};

std::int64_t elapsed_ms(net::TimePoint since) {
  return std::chrono::duration_cast<net::Millis>(net::Clock::now() - since).count();
}

}  // namespace

TableFollower::TableFollower(net::asio::io_context& context, TableStore& store,
                             observe::StructuredLog& log, std::string table,
                             FollowerCallbacks callbacks, net::Millis batch_delay)
    : context_(context),
      store_(store),
      log_(log),
      table_(std::move(table)),
      callbacks_(std::move(callbacks)),
      batch_delay_(batch_delay) {}

void TableFollower::note_version(std::int64_t version) {
  newest_seen_ = std::max(newest_seen_, version);
}

void TableFollower::note_contact(bool reached) {
  callbacks_.on_reachability(reached);
  const auto now = net::Clock::now();
  const bool contacted_before = last_contact_ != net::TimePoint{};
  const bool returned =
      reached && !reached_ && contacted_before && now >= last_contact_ + kMinOutage;
  if (returned) returned_at_ = now;
  if (reached) last_contact_ = now;
  if (reached == reached_) return;
  reached_ = reached;
  log_.event(reached ? "store_reached" : "store_lost")
      .with("table", table_)
      .with("version", version_);
}

net::asio::awaitable<bool> TableFollower::read_snapshot() {
  const auto began = net::Clock::now();
  const auto known_before = newest_seen_;
  std::vector<Row> rows;
  std::string from;
  std::int64_t version = 0;
  bool more = true;
  while (more) {
    RangeRead range;
    range.table = table_;
    range.from_key = from;
    auto page = co_await store_.read(range, kReadTimeout);
    if (page.status != StoreStatus::kDone) {
      note_contact(false);
      co_return false;
    }
    if (version == 0) version = page.version;
    more = page.more && !page.rows.empty();
    if (more) from = page.rows.back().id.key + '\0';
    std::move(page.rows.begin(), page.rows.end(), std::back_inserter(rows));
  }
  note_contact(true);
  // Versions learned while the read was in progress do not make its result stale.
  const bool fresh = version >= known_before;
  const bool improves = version > version_;
  const bool taken = fresh || (mirrors_ && improves);
  if (!fresh) {
    log_.event("stale_read")
        .with("table", table_)
        .with("version", version)
        .with("newest_seen", newest_seen_)
        .with("known_before", known_before)
        .with("mirrored", version_)
        .with("taken", static_cast<int>(taken))
        .with("took_ms", elapsed_ms(began));
  }
  if (!taken) {
    callbacks_.on_discarded_snapshot();
    co_return false;
  }
  version_ = version;
  note_version(version);
  has_snapshot_ = fresh;
  mirrors_ = true;
  callbacks_.on_snapshot(rows);
  co_return fresh;
}

net::asio::awaitable<bool> TableFollower::follow() {
  const auto began = net::Clock::now();
  auto changes = co_await store_.follow(table_, version_, kFeedWait, kFeedTimeout);
  if (stopped_) co_return false;
  if (changes.status == StoreStatus::kUnknown) {
    log_.event("feed_unanswered")
        .with("table", table_)
        .with("version", version_)
        .with("waited_ms", elapsed_ms(began));
    callbacks_.on_unanswered_feed();
  }
  if (changes.status == StoreStatus::kHistoryLost) {
    log_.event("feed_history_lost").with("table", table_).with("version", version_);
    note_version(changes.version);
    has_snapshot_ = false;
    co_return true;
  }
  note_contact(changes.status == StoreStatus::kDone);
  if (changes.status != StoreStatus::kDone) co_return false;
  for (const auto& row : changes.rows) callbacks_.on_change(row);
  version_ = std::max(version_, changes.version);
  note_version(version_);
  if (!changes.rows.empty()) co_await net::sleep_for(context_, batch_delay_);
  co_return true;
}

net::asio::awaitable<void> TableFollower::run() {
  while (!stopped_) {
    bool progress = false;
    if (has_snapshot_) {
      progress = co_await follow();
    } else {
      progress = co_await read_snapshot();
    }
    if (!progress) co_await net::sleep_for(context_, kRetryDelay);
  }
}

}  // namespace sailgate::store
