#include "serving/store_feeds.hpp"

#include <algorithm>

#include "wire/codec.hpp"

namespace sailgate::serving {

namespace {

constexpr const char* kPeerTable = "nodes";
constexpr net::Millis kStoreTimeout{700};
/// Delay before the second attempt to register; it doubles with each further one.
constexpr net::Millis kRegisterRetryDelay{300};
/// Peers ignore a node that is not registered, so it must not wait long once the store is back.
constexpr net::Millis kMaxRegisterRetryDelay{1200};
/// The second one knows the version of this node's row.
constexpr int kMaxUnregisterAttempts = 2;
/// Changes of engines and of the configuration that occur within this time are fetched in one call.
/// Engines register within a few seconds of each other; without batching, each of 295 nodes made a
/// call for almost every entry. The delay is small compared with the seconds within which a leaving
/// engine or a new configuration must be noticed.
constexpr net::Millis kBatchTime{250};
/// Restarted nodes must be known sooner: until its row has been read, a node's beacons are ignored
/// and the tokens that were reserved at it count as spent.
constexpr net::Millis kPeerBatchTime{40};
/// Batch time for each node of the fleet: together the nodes fetch a changing table at most 4,000
/// times a second, whatever their number.
constexpr double kBatchMsPerNode = 0.25;
constexpr net::Millis kConfigurationReadTimeout{500};
/// A running engine replaces an entry that is not its own with its next heartbeat, and an entry
/// that nobody renews lapses after three.
constexpr int kLastingHeartbeats = 4;
constexpr net::Millis kMaxCatchUpDelay{2000};
/// Shorter lags than this occur with every change, since the nodes' feeds are not simultaneous.
constexpr net::Millis kLoggedLag{1000};

}  // namespace

StoreFeeds::StoreFeeds(NodeState& state, const PlatformRecords& records, std::int64_t incarnation)
    : state_(state),
      records_(records),
      entries_(state, records),
      incarnation_(incarnation),
      configuration_follower_(state.context, state.store, state.log, records.configuration_table(),
                              configuration_callbacks(), kBatchTime),
      engine_follower_(state.context, state.store, state.log, records.engine_table(),
                       engine_callbacks(), kBatchTime),
      peer_follower_(state.context, state.store, state.log, kPeerTable, peer_callbacks(),
                     kPeerBatchTime) {}

void StoreFeeds::start() {
  net::asio::co_spawn(state_.context, configuration_follower_.run(), net::asio::detached);
  net::asio::co_spawn(state_.context, engine_follower_.run(), net::asio::detached);
  net::asio::co_spawn(state_.context, peer_follower_.run(), net::asio::detached);
  net::asio::co_spawn(state_.context, register_self(), net::asio::detached);
}

void StoreFeeds::maintain(net::TimePoint now) {
  if (!engine_follower_.entries_may_be_missing(now)) {
    state_.engines.remove_stale();
    state_.engines.adopt_lasting(now, kLastingHeartbeats * state_.settings.engine_heartbeat);
  }
  share_store_version();
  update_batch_times();
  observe_configuration_lag(now);
}

void StoreFeeds::observe_configuration_lag(net::TimePoint now) {
  const auto in_force = state_.configuration_version();
  const auto newest = state_.newest_configuration_version();
  const auto ended = configuration_lag_.update(in_force, newest, now);
  const auto behind = configuration_lag_.behind_for(now);
  state_.metrics.set_configuration(in_force, behind);
  log_configuration_lag(behind, ended);
  // The feed batches changes, so a shorter lag ends by itself.
  if (behind > batch_time_ && !catching_up_) {
    catching_up_ = true;
    net::asio::co_spawn(state_.context, catch_up(), net::asio::detached);
  }
}

void StoreFeeds::log_configuration_lag(net::Millis behind, std::optional<net::Millis> ended) {
  if (behind >= kLoggedLag && !lag_logged_) {
    lag_logged_ = true;
    state_.log.event("configuration_behind")
        .with("version", state_.configuration_version())
        .with("newest", state_.newest_configuration_version())
        .with("for_ms", behind.count());
  }
  if (!ended) return;
  if (lag_logged_) {
    state_.log.event("configuration_caught_up")
        .with("version", state_.configuration_version())
        .with("behind_ms", ended->count());
  }
  lag_logged_ = false;
}

net::asio::awaitable<void> StoreFeeds::catch_up() {
  auto spread = batch_time_;
  const auto behind = [this] {
    return state_.configuration_version() < state_.newest_configuration_version();
  };
  while (!state_.shutdown.begun()) {
    // Many nodes may be behind at once.
    const auto jitter = state_.random.below(static_cast<std::uint64_t>(spread.count()));
    co_await net::sleep_for(state_.context, net::Millis(static_cast<std::int64_t>(jitter)));
    if (!behind()) break;
    store::RangeRead range;
    range.table = records_.configuration_table();
    range.from_key = records_.configuration_key();
    range.limit = 1;
    const auto result = co_await state_.store.read(std::move(range), kConfigurationReadTimeout);
    for (const auto& row : result.rows) apply_configuration(row);
    spread = std::min(2 * spread, kMaxCatchUpDelay);
  }
  catching_up_ = false;
}

void StoreFeeds::update_batch_times() {
  const auto nodes = static_cast<double>(state_.peers.peers().size() + 1);
  const net::Millis fleet_time(static_cast<std::int64_t>(kBatchMsPerNode * nodes));
  batch_time_ = std::max(kBatchTime, fleet_time);
  peer_follower_.set_batch_delay(std::max(kPeerBatchTime, fleet_time));
  configuration_follower_.set_batch_delay(batch_time_);
  engine_follower_.set_batch_delay(batch_time_);
}

net::asio::awaitable<void> StoreFeeds::register_self() {
  wire::PeerRow self;
  self.incarnation = incarnation_;
  self.zone = state_.settings.zone;
  self.address = state_.settings.peers.address().to_string();
  self.port = state_.settings.peers.port();
  self.__set_reads_digests(true);
  store::Row row;
  row.id = {kPeerTable, "", state_.settings.node};
  row.value = wire::encode(self);
  auto delay = kRegisterRetryDelay;
  // An attempt whose answer is lost may have taken effect. Repeating it would send the row to every
  // node of the fleet again, which delays the answers further.
  while (!state_.shutdown.begun() && !registered_) {
    store::Transaction transaction;
    transaction.puts.push_back(row);
    const auto result = co_await state_.store.transact(std::move(transaction), kStoreTimeout);
    if (result.status == store::StoreStatus::kDone) {
      confirmed_version_ = result.version;
      break;
    }
    const auto jitter = state_.random.below(static_cast<std::uint64_t>(delay.count()));
    co_await net::sleep_for(state_.context, delay / 2 + net::Millis(static_cast<int>(jitter)));
    delay = std::min(2 * delay, kMaxRegisterRetryDelay);
  }
  registering_ = false;
}

net::asio::awaitable<void> StoreFeeds::register_again() {
  // Bounds the writes of two processes that are started under the same name.
  co_await net::sleep_for(state_.context, kRegisterRetryDelay);
  co_await register_self();
}

net::asio::awaitable<void> StoreFeeds::unregister_self() {
  const store::RowId own_row{kPeerTable, "", state_.settings.node};
  for (int attempt = 0; attempt < kMaxUnregisterAttempts; ++attempt) {
    store::Transaction transaction;
    transaction.removals.push_back(own_row);
    // The store may execute this when the next process of this node has registered.
    const auto version = own_row_version_ > 0 ? own_row_version_ : confirmed_version_;
    if (version > 0) transaction.conditions.push_back({own_row, version});
    const auto result = co_await state_.store.transact(std::move(transaction), kStoreTimeout);
    if (result.status != store::StoreStatus::kConflict) co_return;
    for (const auto& row : result.rows) apply_peer_row(row);
  }
}

void StoreFeeds::note_own_row(const store::Row& row, bool written_by_self) {
  if (written_by_self) own_row_version_ = row.version;
  const bool older = row.version <= std::max(own_row_version_, confirmed_version_);
  if (older && !written_by_self) return;
  registered_ = written_by_self;
  if (registered_ || registering_ || state_.shutdown.begun()) return;
  registering_ = true;
  state_.log.event("registration_lost")
      .with("row_version", row.version)
      .with("removed", static_cast<int>(row.removed));
  net::asio::co_spawn(state_.context, register_again(), net::asio::detached);
}

store::FollowerCallbacks StoreFeeds::counting_callbacks(const std::string& table) {
  store::FollowerCallbacks callbacks;
  callbacks.on_discarded_snapshot = [this, table] { state_.metrics.snapshot_discarded(table); };
  callbacks.on_unanswered_feed = [this, table] { state_.metrics.feed_unanswered(table); };
  return callbacks;
}

store::FollowerCallbacks StoreFeeds::peer_callbacks() {
  auto callbacks = counting_callbacks(kPeerTable);
  callbacks.on_snapshot = [this](const std::vector<store::Row>& rows) {
    for (const auto& row : rows) apply_peer_row(row);
    state_.peers.mark_complete();
  };
  callbacks.on_change = [this](const store::Row& row) { apply_peer_row(row); };
  callbacks.on_reachability = [](bool) {};
  return callbacks;
}

void StoreFeeds::apply_peer_row(const store::Row& row) {
  const bool own = row.id.key == state_.settings.node;
  if (row.removed) {
    if (own) note_own_row(row, false);
    state_.peers.remove(row.id.key);
    return;
  }
  try {
    const auto peer = wire::decode<wire::PeerRow>(row.value);
    if (own) note_own_row(row, peer.incarnation == incarnation_);
    state_.peers.put(row.id.key, peer, net::Clock::now());
  } catch (const std::exception& error) {
    state_.log.event("peer_unreadable").with("peer", row.id.key).with("why", error.what());
  }
}

void StoreFeeds::record_contact(bool reached) {
  if (reached) {
    last_contact_ = net::Clock::now();
  } else {
    state_.metrics.store_lost();
  }
}

store::FollowerCallbacks StoreFeeds::configuration_callbacks() {
  auto callbacks = counting_callbacks(records_.configuration_table());
  callbacks.on_snapshot = [this](const std::vector<store::Row>& rows) {
    for (const auto& row : rows) apply_configuration(row);
  };
  callbacks.on_change = [this](const store::Row& row) { apply_configuration(row); };
  callbacks.on_reachability = [this](bool reached) { record_contact(reached); };
  return callbacks;
}

store::FollowerCallbacks StoreFeeds::engine_callbacks() {
  auto callbacks = counting_callbacks(records_.engine_table());
  callbacks.on_snapshot = [this](const std::vector<store::Row>& rows) {
    entries_.apply_snapshot(rows, engine_follower_.entries_may_be_missing(net::Clock::now()));
  };
  callbacks.on_change = [this](const store::Row& row) {
    entries_.apply_change(row, engine_follower_.entries_may_be_missing(net::Clock::now()));
  };
  callbacks.on_reachability = [this](bool reached) { record_contact(reached); };
  return callbacks;
}

void StoreFeeds::apply_configuration(const store::Row& row) {
  if (row.id.key != records_.configuration_key() || row.removed) return;
  try {
    auto configuration = records_.decode_configuration(row.value);
    const auto version = configuration.version;
    const auto current = state_.routes == nullptr ? 0 : state_.routes->version();
    if (state_.routes != nullptr && version <= current) return;
    state_.routes = std::make_shared<const routing::RouteTable>(std::move(configuration));
    state_.log.event("configuration")
        .with("version", version)
        .with("before", current)
        .with("row_version", row.version)
        .with("routes", state_.routes->configuration().routes.size());
  } catch (const std::exception& error) {
    state_.log.event("configuration_unreadable")
        .with("row_version", row.version)
        .with("why", error.what());
  }
}

void StoreFeeds::share_store_version() {
  auto newest = state_.peers.newest_store_version();
  for (auto* follower : {&configuration_follower_, &engine_follower_, &peer_follower_}) {
    newest = std::max(newest, follower->newest_seen());
  }
  state_.newest_store_version = newest;
  configuration_follower_.note_version(newest);
  engine_follower_.note_version(newest);
}

}  // namespace sailgate::serving
