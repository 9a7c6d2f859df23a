#include "cluster/store_relay.hpp"

#include <algorithm>

#include "store/row_parts.hpp"
#include "wire/codec.hpp"

namespace sailgate::cluster {

namespace {

constexpr const char* kTransactPath = "/peer/store/transact";
constexpr const char* kReadPath = "/peer/store/read";
constexpr const char* kFollowPath = "/peer/store/follow";
/// Time between two probes of a node, and its minimum per node of the cluster, which bounds the
/// load on the store.
constexpr net::Millis kProbeInterval{200};
constexpr net::Millis kProbeIntervalPerPeer{4};
constexpr net::Millis kProbeTimeout{150};
/// No verification is needed if the last answer is at most this old.
constexpr net::Millis kFreshAnswerAge{400};
/// Overlapping probes have a longer timeout: a store that takes 240 ms to answer is slow, not
/// unreachable.
constexpr net::Millis kOverlappingProbeTimeout{500};
/// Probes read the partitions of this table in turn, since single ones may be out of service.
constexpr const char* kProbeTable = "nodes";
constexpr std::uint64_t kProbedPartCount = 251;
/// While the store is full, each node writes a row to this table once per interval. That is 84
/// calls a second for 84 nodes; callers retry after one second.
constexpr const char* kSpaceTable = "space";
constexpr net::Millis kSpaceProbeInterval{1000};
/// Number of consecutive failures of direct calls before calls are relayed, since single answers
/// may be lost.
constexpr int kFailuresBeforeRelay = 3;
/// Extra time that a relayed call may take compared to a direct one.
constexpr net::Millis kRelayOverhead{40};
/// Maximum wait of a relayed feed; kept short because the peer may fail in the meantime.
constexpr net::Millis kMaxRelayedWait{300};
/// Timeout of a feed call that waits for kMaxRelayedWait at most.
constexpr net::Millis kShortFeedTimeout{2 * kMaxRelayedWait};

using store::StoreResult;
using store::StoreStatus;

wire::StoreRowId to_wire(const store::RowId& id) {
  wire::StoreRowId message;
  message.table = id.table;
  message.part = id.part;
  message.key = id.key;
  return message;
}

store::RowId from_wire(const wire::StoreRowId& message) {
  return {message.table, message.part, message.key};
}

wire::StoreRow to_wire(const store::Row& row) {
  wire::StoreRow message;
  message.id = to_wire(row.id);
  message.value = row.value;
  message.version = row.version;
  message.removed = row.removed;
  return message;
}

store::Row from_wire(const wire::StoreRow& message) {
  store::Row row;
  row.id = from_wire(message.id);
  row.value = message.value;
  row.version = message.version;
  row.removed = message.removed;
  return row;
}

/// Maps a status that this version does not know to kUnknown.
StoreStatus status_from_wire(std::int32_t status) {
  const bool known = status >= 0 && status <= static_cast<std::int32_t>(StoreStatus::kThrottled);
  return known ? static_cast<StoreStatus>(status) : StoreStatus::kUnknown;
}

wire::StoreReply to_wire(const StoreResult& result) {
  wire::StoreReply message;
  message.status = static_cast<std::int32_t>(result.status);
  for (const auto& row : result.rows) message.rows.push_back(to_wire(row));
  message.version = result.version;
  message.more = result.more;
  message.now_ms = result.now_ms;
  return message;
}

StoreResult from_wire(const wire::StoreReply& message) {
  StoreResult result;
  result.status = status_from_wire(message.status);
  for (const auto& row : message.rows) result.rows.push_back(from_wire(row));
  result.version = message.version;
  result.more = message.more;
  result.now_ms = message.now_ms;
  return result;
}

wire::StoreTransact to_wire(const store::Transaction& transaction, net::Millis timeout) {
  wire::StoreTransact message;
  for (const auto& condition : transaction.conditions) {
    wire::StoreRow row;
    row.id = to_wire(condition.id);
    row.version = condition.version;
    message.conditions.push_back(std::move(row));
  }
  for (const auto& row : transaction.puts) message.puts.push_back(to_wire(row));
  for (const auto& id : transaction.removals) message.removals.push_back(to_wire(id));
  message.timeout_ms = static_cast<std::int32_t>(timeout.count());
  return message;
}

store::Transaction from_wire(const wire::StoreTransact& message) {
  store::Transaction transaction;
  for (const auto& row : message.conditions) {
    transaction.conditions.push_back({from_wire(row.id), row.version});
  }
  for (const auto& row : message.puts) transaction.puts.push_back(from_wire(row));
  for (const auto& id : message.removals) transaction.removals.push_back(from_wire(id));
  return transaction;
}

net::Millis clamp_timeout(std::int32_t timeout_ms) {
  constexpr net::Millis kMaxTimeout{3000};
  return std::clamp(net::Millis(timeout_ms), net::Millis(1), kMaxTimeout);
}

}  // namespace

void StoreRelay::record_direct_result(const StoreResult& result) {
  const auto status = result.status;
  record_result(result);
  failures_in_a_row_ = reached(status) ? 0 : failures_in_a_row_ + 1;
  const bool works = failures_in_a_row_ < kFailuresBeforeRelay;
  if (works == direct_works_) return;
  direct_works_ = works;
  log_.event(works ? "store_direct" : "store_relayed").with("peers", directory_.peers().size());
}

void StoreRelay::record_result(const StoreResult& result) {
  const auto now = net::Clock::now();
  reachability_.note(reached(result.status), now);
  clock_.observe(result.now_ms, now);
}

net::Millis StoreRelay::probe_interval() const {
  const auto peers = static_cast<std::int64_t>(directory_.peers().size());
  return std::max(kProbeInterval, kProbeIntervalPerPeer * peers);
}

net::asio::awaitable<void> StoreRelay::probe(net::Millis timeout) {
  store::RangeRead range;
  range.table = kProbeTable;
  range.part = std::to_string(probes_++ % kProbedPartCount);
  range.limit = 1;
  const auto result = co_await direct_.read(std::move(range), timeout);
  record_direct_result(result);
}

net::asio::awaitable<void> StoreRelay::probe_space() {
  space_probed_at_ = net::Clock::now();
  store::Transaction transaction;
  const auto part = store::partition_of(directory_.self());
  transaction.puts.push_back({{kSpaceTable, part, directory_.self()}, "", 0, false});
  co_await transact(std::move(transaction), kOverlappingProbeTimeout);
}

void StoreRelay::record_space(StoreStatus status, bool puts_rows) {
  if (!space_.note(status, puts_rows)) return;
  log_.event(space_.full() ? "store_full" : "store_has_space");
}

net::asio::awaitable<void> StoreRelay::probe_loop() {
  while (true) {
    co_await net::sleep_for(context_, probe_interval());
    if (full() && net::Clock::now() >= space_probed_at_ + kSpaceProbeInterval) {
      co_await probe_space();
    }
    const bool healthy = direct_works_ && reachability_.answers(net::Clock::now());
    if (healthy) continue;
    if (overlapping_) {
      net::asio::co_spawn(context_, probe(kOverlappingProbeTimeout), net::asio::detached);
    } else {
      co_await probe(kProbeTimeout);
    }
  }
}

void StoreRelay::verify() {
  if (verifying_ || reachability_.unanswered(net::Clock::now()) < kFreshAnswerAge) return;
  verifying_ = true;
  net::asio::co_spawn(context_, probe_twice(), net::asio::detached);
}

net::asio::awaitable<void> StoreRelay::probe_twice() {
  co_await probe(kProbeTimeout);
  if (reachability_.consecutive_failures() > 0) co_await probe(kProbeTimeout);
  verifying_ = false;
}

std::optional<Peer> StoreRelay::pick_relay_peer() {
  if (direct_works_ || !relaying_) return std::nullopt;
  const auto now = net::Clock::now();
  const auto candidates = directory_.reaching_store(now, silence_limit_);
  if (candidates.empty()) return std::nullopt;
  return candidates[random_.below(candidates.size())];
}

net::asio::awaitable<StoreResult> StoreRelay::relayed(Peer peer, const char* path, std::string body,
                                                      net::Millis timeout) {
  const auto http = clients_.get(peer);
  auto call = peer_request(path, std::move(body));
  const auto exchange = co_await http->exchange(std::move(call), timeout + kRelayOverhead);
  StoreResult result;
  result.status = exchange.failure == net::ExchangeFailure::kNotSent ? StoreStatus::kRefused
                                                                     : StoreStatus::kUnknown;
  if (!succeeded(exchange)) {
    directory_.suspect(peer.node, net::Clock::now());
    record_result(result);
    co_return result;
  }
  try {
    result = from_wire(wire::decode<wire::StoreReply>(exchange.response.body()));
  } catch (const std::exception&) {
    result.status = StoreStatus::kUnknown;
  }
  record_result(result);
  co_return result;
}

net::asio::awaitable<StoreResult> StoreRelay::transact(store::Transaction transaction,
                                                       net::Millis timeout) {
  const bool puts_rows = !transaction.puts.empty();
  StoreResult result;
  if (const auto peer = pick_relay_peer()) {
    auto body = wire::encode(to_wire(transaction, timeout));
    result = co_await relayed(*peer, kTransactPath, std::move(body), timeout);
  } else {
    result = co_await direct_.transact(std::move(transaction), timeout);
    record_direct_result(result);
  }
  record_space(result.status, puts_rows);
  co_return result;
}

net::asio::awaitable<StoreResult> StoreRelay::read(store::RangeRead range, net::Millis timeout) {
  if (const auto peer = pick_relay_peer()) {
    wire::StoreRead message;
    message.table = range.table;
    message.part = range.part;
    message.from_key = range.from_key;
    message.to_key = range.to_key;
    message.limit = range.limit;
    message.timeout_ms = static_cast<std::int32_t>(timeout.count());
    auto body = wire::encode(message);
    co_return co_await relayed(*peer, kReadPath, std::move(body), timeout);
  }
  auto result = co_await direct_.read(std::move(range), timeout);
  record_direct_result(result);
  co_return result;
}

net::asio::awaitable<StoreResult> StoreRelay::follow(std::string table, std::int64_t after,
                                                     net::Millis wait, net::Millis timeout) {
  if (const auto peer = pick_relay_peer()) {
    wire::StoreFollow message;
    message.table = table;
    message.after = after;
    message.wait_ms = static_cast<std::int32_t>(std::min(wait, kMaxRelayedWait).count());
    const auto relayed_timeout = std::min(timeout, kShortFeedTimeout);
    message.timeout_ms = static_cast<std::int32_t>(relayed_timeout.count());
    auto body = wire::encode(message);
    co_return co_await relayed(*peer, kFollowPath, std::move(body), relayed_timeout);
  }
  // While direct calls fail, a direct feed must not block for its whole wait time.
  const auto direct_wait = direct_works_ ? wait : std::min(wait, kMaxRelayedWait);
  const auto direct_timeout = direct_works_ ? timeout : kShortFeedTimeout;
  auto result = co_await direct_.follow(std::move(table), after, direct_wait, direct_timeout);
  record_direct_result(result);
  co_return result;
}

bool StoreRelay::serves(std::string_view path) {
  return path == kTransactPath || path == kReadPath || path == kFollowPath;
}

net::asio::awaitable<net::TextResponse> StoreRelay::serve(net::TextRequest request) {
  net::TextResponse response;
  StoreResult result;
  if (request.target() == kTransactPath) {
    const auto message = wire::decode<wire::StoreTransact>(request.body());
    auto transaction = from_wire(message);
    result = co_await direct_.transact(std::move(transaction), clamp_timeout(message.timeout_ms));
  } else if (request.target() == kReadPath) {
    const auto message = wire::decode<wire::StoreRead>(request.body());
    store::RangeRead range;
    range.table = message.table;
    range.part = message.part;
    range.from_key = message.from_key;
    range.to_key = message.to_key;
    range.limit = message.limit;
    result = co_await direct_.read(std::move(range), clamp_timeout(message.timeout_ms));
  } else {
    const auto message = wire::decode<wire::StoreFollow>(request.body());
    result = co_await direct_.follow(message.table, message.after, clamp_timeout(message.wait_ms),
                                     clamp_timeout(message.timeout_ms));
  }
  response.body() = wire::encode(to_wire(result));
  co_return response;
}

}  // namespace sailgate::cluster
