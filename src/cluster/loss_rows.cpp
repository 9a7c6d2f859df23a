#include "cluster/loss_rows.hpp"

#include <algorithm>
#include <limits>

#include "ledger/expiry_index.hpp"
#include "store/row_parts.hpp"
#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

using store::StoreStatus;

constexpr const char* kTable = "request_losses";
constexpr net::Millis kCallTime{700};
/// A transaction holds at most 100 operations, and each row takes three.
constexpr std::size_t kMaxRows = 32;
/// Longer than outages in which callers keep coming back with a request.
constexpr net::Millis kRepeatFor{std::chrono::seconds(30)};
constexpr net::Millis kFirstPause{20};
constexpr net::Millis kMaxPause{500};
/// Transactions that a node may begin at once after a pause.
constexpr int kBurst = 8;
/// Callers come back within seconds, programs that loop without end within their retention.
constexpr std::int64_t kRetentionMs = 120'000;
/// Bounds the memory; a row takes some 100 bytes here.
constexpr std::size_t kMaxWaiting = 20'000;

std::string partition() { return store::partition_of(kTable); }

store::RowId row_id(const std::string& fingerprint) { return {kTable, partition(), fingerprint}; }

std::int32_t later(std::int32_t age, std::int64_t by) {
  const auto sum = static_cast<std::int64_t>(age) + by;
  const std::int64_t most = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(sum, 0, most));
}

/// Ages as of now, where the row holds those of the time at which it was written.
void advance(wire::RequestLosses& losses, std::int64_t by) {
  for (auto& loss : losses.losses) {
    loss.began_ms = later(loss.began_ms, by);
    loss.ended_ms = later(loss.ended_ms, by);
    if (loss.__isset.looked_ms) loss.looked_ms = later(loss.looked_ms, by);
  }
  for (auto& success : losses.successes) success.began_ms = later(success.began_ms, by);
}

}  // namespace

class LossRows::Write {
 public:
  explicit Write(net::TimePoint give_up_at) : give_up_at_(give_up_at) {}

  net::TimePoint give_up_at() const { return give_up_at_; }
  void add_waiter(std::shared_ptr<net::asio::steady_timer> waiter) {
    if (newer_ != nullptr) return newer_->add_waiter(std::move(waiter));
    waiters_.push_back(std::move(waiter));
  }
  void finish() {
    done_ = true;
    for (const auto& waiter : waiters_) waiter->cancel();
  }
  /// `newer` holds later news of the same request, which this one is written together with.
  void join(const std::shared_ptr<Write>& newer) {
    for (auto& waiter : waiters_) newer->add_waiter(std::move(waiter));
    waiters_.clear();
    newer_ = newer;
  }
  bool stored() const { return done_ || (newer_ != nullptr && newer_->stored()); }

 private:
  net::TimePoint give_up_at_;
  bool done_ = false;
  std::vector<std::shared_ptr<net::asio::steady_timer>> waiters_;
  std::shared_ptr<Write> newer_;
};

LossRows::LossRows(net::asio::io_context& context, StoreRelay& store, observe::StructuredLog& log,
                   std::function<std::size_t()> nodes, std::uint64_t seed, Compose compose,
                   Merge merge)
    : context_(context),
      store_(store),
      rows_(context, store, seed),
      log_(log),
      nodes_(std::move(nodes)),
      compose_(std::move(compose)),
      merge_(std::move(merge)) {}

LossRows::WritePointer LossRows::save(const std::string& fingerprint) {
  auto& write = waiting_[fingerprint];
  if (write == nullptr) write = std::make_shared<Write>(net::Clock::now() + kRepeatFor);
  auto asked = write;
  if (waiting_.size() > kMaxWaiting) waiting_.erase(waiting_.begin());
  if (!running_) {
    running_ = true;
    net::asio::co_spawn(context_, run(), net::asio::detached);
  }
  return asked;
}

net::asio::awaitable<bool> LossRows::wait(WritePointer write, net::TimePoint deadline) {
  if (write->stored() || !store_.answers()) co_return write->stored();
  auto waiter = std::make_shared<net::asio::steady_timer>(context_, deadline);
  write->add_waiter(waiter);
  net::Error ignored;
  co_await waiter->async_wait(net::awaiting(ignored));
  co_return write->stored();
}

bool LossRows::is_stored(const Write& write) { return write.stored(); }

LossRows::Writes LossRows::next_batch() {
  Writes batch;
  while (!waiting_.empty() && batch.size() < kMaxRows) {
    batch.insert(waiting_.extract(waiting_.begin()));
  }
  return batch;
}

void LossRows::put_row(store::Transaction& transaction, const std::string& fingerprint,
                       wire::RequestLosses losses, std::int64_t now) const {
  const auto known = versions_.find(fingerprint);
  const auto id = row_id(fingerprint);
  transaction.conditions.push_back({id, known == versions_.end() ? 0 : known->second});
  losses.__set_stored_ms(now);
  store::Row row;
  row.id = id;
  row.value = wire::encode(losses);
  transaction.puts.push_back(std::move(row));
  transaction.puts.push_back(
      ledger::expiry_row(id.part, {now + kRetentionMs, kTable, fingerprint}));
}

store::Transaction LossRows::compose_transaction(Writes& batch, std::int64_t now) const {
  store::Transaction transaction;
  for (auto write = batch.begin(); write != batch.end();) {
    auto losses = compose_(write->first);
    if (!losses) {
      write->second->finish();
      write = batch.erase(write);
      continue;
    }
    put_row(transaction, write->first, std::move(*losses), now);
    ++write;
  }
  return transaction;
}

void LossRows::take_over(const store::Row& row) {
  versions_[row.id.key] = row.version;
  const auto now = store_.clock().now(net::Clock::now());
  try {
    auto losses = wire::decode<wire::RequestLosses>(row.value);
    const auto age = std::max<std::int64_t>(now.value_or(0) - losses.stored_ms, 0);
    if (age > kRetentionMs) return;
    advance(losses, age);
    merge_(losses);
  } catch (const std::exception& error) {
    log_.event("loss_row_unreadable").with("fingerprint", row.id.key).with("why", error.what());
  }
}

void LossRows::finish(Writes& batch, const std::string& fingerprint, std::int64_t version) {
  versions_[fingerprint] = version;
  const auto write = batch.find(fingerprint);
  if (write == batch.end()) return;
  write->second->finish();
  batch.erase(write);
}

bool LossRows::settle(Writes& batch, const std::vector<store::Row>& written,
                      const store::StoreResult& result) {
  if (result.status == StoreStatus::kDone) {
    for (const auto& row : written) {
      if (row.id.table == kTable) finish(batch, row.id.key, result.version);
    }
    return true;
  }
  if (result.status != StoreStatus::kConflict) return false;
  for (const auto& [fingerprint, write] : batch) versions_.erase(fingerprint);
  for (const auto& row : result.rows) {
    if (row.version == 0 || row.removed) continue;
    // An attempt of this transaction whose answer was lost has taken effect.
    const bool own = std::any_of(written.begin(), written.end(), [&row](const auto& sent) {
      return sent.id.key == row.id.key && sent.value == row.value;
    });
    if (own) {
      finish(batch, row.id.key, row.version);
    } else {
      take_over(row);
    }
  }
  return true;
}

void LossRows::put_back(Writes& batch) {
  const auto now = net::Clock::now();
  for (auto& [fingerprint, write] : batch) {
    const auto newer = waiting_.find(fingerprint);
    if (newer != waiting_.end()) {
      write->join(newer->second);
    } else if (now < write->give_up_at()) {
      waiting_[fingerprint] = write;
    } else {
      log_.event("losses_not_stored").with("fingerprint", fingerprint);
    }
  }
}

net::Millis LossRows::reserve_transaction(net::TimePoint now) {
  const net::Millis interval(1000 * nodes_() / kFleetWritesPerSecond);
  share_used_until_ = std::max(share_used_until_, now - (kBurst - 1) * interval);
  const auto delay = std::chrono::duration_cast<net::Millis>(share_used_until_ - now);
  share_used_until_ += interval;
  return std::max(delay, net::Millis(0));
}

net::asio::awaitable<void> LossRows::run() {
  auto pause = kFirstPause;
  while (!waiting_.empty()) {
    const auto delay = reserve_transaction(net::Clock::now());
    if (delay.count() > 0) co_await net::sleep_for(context_, delay);
    const auto now = store_.clock().now(net::Clock::now());
    auto batch = next_batch();
    const auto began = net::Clock::now();
    store::StoreResult result;
    store::Transaction transaction;
    if (now) {
      transaction = compose_transaction(batch, *now);
      if (batch.empty()) continue;
      const auto deadline = net::Clock::now() + kCallTime;
      result = co_await rows_.transact(transaction, deadline);
    }
    const auto rows = batch.size();
    const bool processed = settle(batch, transaction.puts, result);
    put_back(batch);
    const auto took = std::chrono::duration_cast<net::Millis>(net::Clock::now() - began);
    log_.event("losses_stored")
        .with("requests", rows)
        .with("status", store::name_of(result.status))
        .with("took_ms", took.count());
    pause = processed ? kFirstPause : std::min(2 * pause, kMaxPause);
    if (!processed) co_await net::sleep_for(context_, pause);
  }
  running_ = false;
}

net::asio::awaitable<bool> LossRows::load() {
  store::RangeRead range;
  range.table = kTable;
  range.part = partition();
  const auto began = net::Clock::now();
  std::size_t rows = 0;
  bool more = true;
  while (more) {
    auto copy = range;
    const auto page = co_await rows_.read(std::move(copy), net::Clock::now() + kCallTime);
    if (page.status != StoreStatus::kDone) co_return false;
    for (const auto& row : page.rows) take_over(row);
    rows += page.rows.size();
    more = page.more && !page.rows.empty();
    // The next key in byte order.
    if (more) range.from_key = page.rows.back().id.key + '\0';
  }
  const auto took = std::chrono::duration_cast<net::Millis>(net::Clock::now() - began);
  log_.event("losses_read").with("requests", rows).with("took_ms", took.count());
  co_return true;
}

}  // namespace sailgate::cluster
