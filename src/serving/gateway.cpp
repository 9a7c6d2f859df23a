#include "serving/gateway.hpp"

#include <algorithm>

#include "net/endpoint.hpp"
#include "net/socket_state.hpp"
#include "wire/codec.hpp"

namespace sailgate::serving {

namespace {

constexpr const char* kPeerTable = "nodes";
constexpr net::Millis kStoreTimeout{700};
constexpr net::Millis kRegisterPause{300};
/// Changes of engines and the configuration are fetched together within this time: engines register
/// within a few seconds, and without it each of 295 nodes made a call for almost every entry. It is
/// a small part of the seconds in which a leaving engine or a configuration must be noticed.
constexpr net::Millis kGatherTime{250};
/// Nodes that come back anew are wanted sooner: until their row is known their beacons say nothing,
/// and what was reserved at them counts as used.
constexpr net::Millis kPeerGatherTime{40};
constexpr net::Millis kMaintenanceInterval{100};
/// A node that has not reached the store for this long asks callers to go elsewhere.
constexpr net::Millis kContactTime{3500};
/// The entry asks for readiness once a second and believes the second refusal.
constexpr net::Millis kEntryNotices{3200};
/// A planned stop ends this long before it would be forced.
constexpr net::Millis kStopMargin{700};
constexpr net::Millis kStopPoll{50};
/// The other nodes hear within this time that this one is no home any more.
constexpr net::Millis kHomesNotice{300};
/// Longest that tokens are given back at once.
constexpr net::Millis kReleaseTime{800};
constexpr net::Millis kAcceptPause{20};
/// An owner of programs that was not heard of for so long is taken to be lost: its escrow with it,
/// so a pause of its process should not be enough.
constexpr net::Millis kOwnerSilence{2000};

}  // namespace

Gateway::Gateway(net::asio::io_context& context, NodeSettings settings,
                 const EdgeProtocol& protocol, const PlatformRecords& records,
                 store::TableStore& store, observe::StructuredLog& log, std::int64_t incarnation)
    : context_(context),
      incarnation_(incarnation),
      state_(context, std::move(settings), protocol, store, log, incarnation),
      records_(records),
      configuration_follower_(context, state_.store, log, records.configuration_table(),
                              configuration_callbacks(), kGatherTime),
      engine_follower_(context, state_.store, log, records.engine_table(), engine_callbacks(),
                       kGatherTime),
      peer_follower_(context, state_.store, log, kPeerTable, peer_callbacks(), kPeerGatherTime),
      acceptor_(context, state_.settings.callers),
      readiness_(context, state_.settings.readiness,
                 [this](net::TextRequest request) -> net::asio::awaitable<net::TextResponse> {
                   co_return answer_readiness(request);
                 }),
      peer_server_(context, state_.settings.peers,
                   [this](net::TextRequest request) { return answer_peer(std::move(request)); }) {
  state_.engines.on_leaving([this](const balancing::Engine& engine) {
    state_.connections.drop(engine.record.id);
    state_.log.event("engine_leaving").with("engine", engine.record.id);
  });
  if (state_.settings.metrics) open_metrics(*state_.settings.metrics);
}

void Gateway::open_metrics(const net::Endpoint& endpoint) {
  const auto answer = [this](net::TextRequest) -> net::asio::awaitable<net::TextResponse> {
    co_return answer_metrics();
  };
  try {
    metrics_ = std::make_unique<net::TextServer>(context_, endpoint, answer);
  } catch (const std::exception& error) {
    // A node without metrics serves callers all the same.
    state_.log.event("metrics_unavailable")
        .with("address", net::format_endpoint(endpoint))
        .with("why", error.what());
  }
}

net::asio::awaitable<net::TextResponse> Gateway::answer_peer(net::TextRequest request) {
  net::TextResponse response;
  const std::string path(request.target().data(), request.target().size());
  try {
    if (cluster::StoreRelay::serves(path)) {
      response = co_await state_.store.serve(std::move(request));
    } else {
      response = co_await state_.turns.serve(std::move(request));
    }
  } catch (const std::exception& error) {
    state_.log.event("peer_message_unreadable").with("path", path).with("why", error.what());
    response.result(net::http::status::bad_request);
  }
  co_return response;
}

net::TextResponse Gateway::answer_metrics() const {
  net::TextResponse response;
  response.set(net::http::field::content_type, "text/plain; version=0.0.4");
  response.body() = state_.metrics.text();
  return response;
}

net::TextResponse Gateway::answer_readiness(const net::TextRequest& request) const {
  net::TextResponse response;
  const bool asked = request.target() == state_.protocol.readiness_path();
  response.result(asked && ready() ? net::http::status::ok
                                   : net::http::status::service_unavailable);
  return response;
}

bool Gateway::ready() const {
  return !state_.stopping && state_.routes != nullptr && state_.engines_known &&
         net::Clock::now() - last_contact_ < kContactTime;
}

void Gateway::start() {
  readiness_.start();
  peer_server_.start();
  if (metrics_ != nullptr) metrics_->start();
  state_.beacons.start();
  net::asio::co_spawn(context_, accept(), net::asio::detached);
  net::asio::co_spawn(context_, configuration_follower_.run(), net::asio::detached);
  net::asio::co_spawn(context_, engine_follower_.run(), net::asio::detached);
  net::asio::co_spawn(context_, peer_follower_.run(), net::asio::detached);
  net::asio::co_spawn(context_, register_self(), net::asio::detached);
  net::asio::co_spawn(context_, state_.store.keep_probing(), net::asio::detached);
  net::asio::co_spawn(context_, maintain(), net::asio::detached);
  net::asio::co_spawn(context_, state_.sweeper.run(), net::asio::detached);
  if (state_.settings.mechanisms.escrow) {
    state_.ledger.escrow.enable(escrow_peers());
    net::asio::co_spawn(context_, state_.ledger.escrow.run(), net::asio::detached);
  }
}

net::asio::awaitable<void> Gateway::register_self() {
  wire::PeerRow self;
  self.incarnation = incarnation_;
  self.zone = state_.settings.zone;
  self.address = state_.settings.peers.address().to_string();
  self.port = state_.settings.peers.port();
  store::Row row;
  row.id = {kPeerTable, "", state_.settings.node};
  row.value = wire::encode(self);
  while (!state_.stopping) {
    store::Transaction transaction;
    transaction.puts.push_back(row);
    const auto result = co_await state_.store.transact(std::move(transaction), kStoreTimeout);
    if (result.status == store::StoreStatus::kDone) co_return;
    co_await net::sleep_for(context_, kRegisterPause);
  }
}

net::asio::awaitable<void> Gateway::unregister_self() {
  store::Transaction transaction;
  transaction.removals.push_back({kPeerTable, "", state_.settings.node});
  co_await state_.store.transact(std::move(transaction), kStoreTimeout);
}

store::FollowerCallbacks Gateway::peer_callbacks() {
  store::FollowerCallbacks callbacks;
  callbacks.on_whole = [this](const std::vector<store::Row>& rows) {
    for (const auto& row : rows) take_peer(row);
    state_.peers.note_complete();
  };
  callbacks.on_change = [this](const store::Row& row) { take_peer(row); };
  callbacks.on_contact = [](bool) {};
  return callbacks;
}

void Gateway::take_peer(const store::Row& row) {
  if (row.removed) {
    state_.peers.remove(row.id.key);
    return;
  }
  try {
    state_.peers.put(row.id.key, wire::decode<wire::PeerRow>(row.value), net::Clock::now());
  } catch (const std::exception& error) {
    state_.log.event("peer_unreadable").with("peer", row.id.key).with("why", error.what());
  }
}

void Gateway::note_contact(bool reached) {
  if (reached) {
    last_contact_ = net::Clock::now();
  } else {
    state_.metrics.store_lost();
  }
}

store::FollowerCallbacks Gateway::configuration_callbacks() {
  store::FollowerCallbacks callbacks;
  callbacks.on_whole = [this](const std::vector<store::Row>& rows) {
    for (const auto& row : rows) take_configuration(row);
  };
  callbacks.on_change = [this](const store::Row& row) { take_configuration(row); };
  callbacks.on_contact = [this](bool reached) { note_contact(reached); };
  return callbacks;
}

store::FollowerCallbacks Gateway::engine_callbacks() {
  store::FollowerCallbacks callbacks;
  callbacks.on_whole = [this](const std::vector<store::Row>& rows) {
    std::vector<balancing::EngineRecord> engines;
    for (const auto& row : rows) {
      try {
        engines.push_back(records_.decode_engine(row.id.key, row.value));
      } catch (const std::exception& error) {
        state_.log.event("engine_unreadable").with("engine", row.id.key).with("why", error.what());
      }
    }
    using Absent = balancing::EngineRegistry::Absent;
    const bool may_return = engine_follower_.entries_may_return(net::Clock::now());
    state_.engines.replace(std::move(engines), may_return ? Absent::kLapsed : Absent::kRemoved);
    state_.engines_known = true;
    state_.log.event("engines_read").with("count", state_.engines.size());
  };
  callbacks.on_change = [this](const store::Row& row) { take_engine(row); };
  callbacks.on_contact = [this](bool reached) { note_contact(reached); };
  return callbacks;
}

void Gateway::take_configuration(const store::Row& row) {
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

void Gateway::take_engine_removal(const store::Row& row) {
  if (!engine_follower_.entries_may_return(net::Clock::now())) {
    state_.engines.remove(row.id.key);
    return;
  }
  state_.log.event("engine_entry_lapsed")
      .with("engine", row.id.key)
      .with("row_version", row.version);
  state_.engines.lapse(row.id.key);
}

void Gateway::take_engine(const store::Row& row) {
  if (row.removed) {
    take_engine_removal(row);
    return;
  }
  try {
    const bool known = state_.engines.find(row.id.key) != nullptr;
    auto record = records_.decode_engine(row.id.key, row.value);
    if (!known) {
      state_.log.event("engine_added")
          .with("engine", record.id)
          .with("service", record.service)
          .with("row_version", row.version);
    }
    state_.engines.put(std::move(record));
  } catch (const std::exception& error) {
    state_.log.event("engine_unreadable").with("engine", row.id.key).with("why", error.what());
  }
}

net::asio::awaitable<void> Gateway::serve(std::shared_ptr<CallerSession> session) {
  sessions_.insert(session);
  co_await session->run();
  sessions_.erase(session);
}

net::asio::awaitable<void> Gateway::accept() {
  while (acceptor_.is_open()) {
    net::Error error;
    auto socket = co_await acceptor_.async_accept(net::awaiting(error));
    if (error) {
      co_await net::sleep_for(context_, kAcceptPause);
      continue;
    }
    net::tune(socket);
    auto session = std::make_shared<CallerSession>(state_, std::move(socket));
    net::asio::co_spawn(context_, serve(std::move(session)), net::asio::detached);
  }
}

net::asio::awaitable<void> Gateway::maintain() {
  while (true) {
    co_await net::sleep_for(context_, kMaintenanceInterval);
    const auto now = net::Clock::now();
    state_.connections.expire(now);
    if (!engine_follower_.entries_may_return(now)) state_.engines.remove_lapsed();
    state_.store.set_silence_limit(state_.beacons.silence_limit());
    state_.quotas.refresh(now, state_.beacons.silence_limit());
    share_store_version();
    state_.ledger.budgets.forget_idle(now);
    if (state_.settings.mechanisms.peer_loads) take_peer_loads(now);
    if (state_.settings.mechanisms.peer_failures) take_peer_failures(now);
    if (state_.settings.mechanisms.speeds) take_speeds(now);
    state_.metrics.set_escrow_shards(state_.ledger.escrow.spendable_shards().size(),
                                     state_.ledger.escrow.bare_shards().size());
    state_.metrics.set_engines(state_.engines.size());
    state_.metrics.set_connections_opened(state_.connections.opened());
    state_.metrics.set_dropped_log_lines(state_.log.dropped());
    state_.log.flush();
  }
}

void Gateway::take_peer_loads(net::TimePoint now) {
  const auto peer_loads = state_.peers.loads(now, state_.beacons.silence_limit());
  for (const auto& engine : state_.engines.all()) {
    engine->peer_in_flight = peer_loads.at(engine->record.id);
  }
}

void Gateway::take_speeds(net::TimePoint now) {
  if (now < speeds_taken_at_ + balancing::kSpeedReading) return;
  speeds_taken_at_ = now;
  const auto told = state_.peers.figures(now, state_.beacons.silence_limit()).speeds;
  double slowest = 1;
  double fastest = 1;
  for (const auto& engine : state_.engines.all()) {
    const auto entry = told.find(cluster::engine_key(engine->record.id));
    balancing::SpeedFigure others;
    if (entry != told.end()) others = {entry->second.permille, entry->second.samples};
    engine->told_speed.take(engine->own_speed.figure(now), others, now);
    engine->speed = engine->told_speed.value();
    slowest = std::min(slowest, engine->speed);
    fastest = std::max(fastest, engine->speed);
    log_speed(*engine, others, now);
  }
  state_.metrics.set_engine_speeds(slowest, fastest);
}

void Gateway::log_speed(balancing::Engine& engine, const balancing::SpeedFigure& told,
                        net::TimePoint now) {
  const auto before = engine.speed_step.value();
  if (!engine.speed_step.moved(engine.speed, now)) return;
  const auto own = engine.own_speed.figure(now);
  state_.log.event("engine_speed")
      .with("engine", engine.record.id)
      .with("speed", engine.speed)
      .with("step", engine.speed_step.value())
      .with("step_before", before)
      .with("own_permille", own.permille)
      .with("own_samples", own.samples)
      .with("told_permille", told.permille)
      .with("told_samples", told.samples);
}

void Gateway::take_peer_failures(net::TimePoint now) {
  const auto silence = state_.beacons.silence_limit();
  const auto failures = state_.peers.failures(now, silence);
  for (const auto& engine : state_.engines.all()) {
    const auto& id = engine->record.id;
    const int told = failures.at(id);
    const bool suspect = told > 0 || balancing::failed_lately(*engine, now);
    const bool tries = suspect && !state_.peers.home(id, now, silence).has_value();
    const bool left = suspect && balancing::leaves_to_probe(*engine, told, tries, now);
    if (left == engine->left_to_probe) continue;
    engine->left_to_probe = left;
    state_.log.event(left ? "engine_left_to_probe" : "engine_used_again")
        .with("engine", id)
        .with("own_failures", engine->consecutive_failures)
        .with("told_failures", told);
  }
}

void Gateway::share_store_version() {
  auto newest = state_.peers.newest_store_version();
  for (auto* follower : {&configuration_follower_, &engine_follower_, &peer_follower_}) {
    newest = std::max(newest, follower->newest_seen());
  }
  state_.newest_store_version = newest;
  configuration_follower_.note_version(newest);
  engine_follower_.note_version(newest);
}

void Gateway::stop() {
  if (state_.stopping) return;
  state_.stopping = true;
  stop_began_ = net::Clock::now();
  state_.log.event("stopping").with("active_requests", state_.active_requests);
  net::asio::co_spawn(context_, finish_stop(), net::asio::detached);
}

ledger::EscrowPeers Gateway::escrow_peers() {
  const auto silence = [this] { return std::max(kOwnerSilence, state_.beacons.silence_limit()); };
  ledger::EscrowPeers peers;
  peers.unowned = [this, silence] {
    std::set<int> own;
    for (const auto shard : state_.ledger.escrow.spendable_shards()) own.insert(shard);
    for (const auto shard : state_.ledger.escrow.bare_shards()) own.insert(shard);
    return state_.peers.shards_to_claim(own, ledger::kEscrowShards, net::Clock::now(), silence());
  };
  peers.lives = [this, silence](std::int64_t incarnation) {
    return state_.peers.heard(incarnation, net::Clock::now(), silence());
  };
  return peers;
}

net::asio::awaitable<void> Gateway::release_tokens() {
  co_await state_.ledger.escrow.hand_over(state_.ledger.budgets.spent_of_escrow(),
                                          net::Clock::now() + kReleaseTime);
  co_await net::sleep_for(context_, kHomesNotice);
  co_await state_.ledger.budgets.release_all(net::Clock::now() + kReleaseTime);
}

net::asio::awaitable<void> Gateway::finish_stop() {
  co_await unregister_self();
  net::asio::co_spawn(context_, release_tokens(), net::asio::detached);
  co_await net::sleep_for(context_, kEntryNotices);
  net::Error ignored;
  acceptor_.close(ignored);
  const auto limit = stop_began_ + state_.settings.stop_grace - kStopMargin;
  while (state_.active_requests > 0 && net::Clock::now() < limit) {
    co_await net::sleep_for(context_, kStopPoll);
  }
  // NOTE: nothing may be awaited from here on: idle connections would take requests that get cut.
  const auto idle = sessions_;
  for (const auto& session : idle) session->close_if_idle();
  state_.log.event("stopped").with("active_requests", state_.active_requests);
  state_.log.flush();
  context_.stop();
}

}  // namespace sailgate::serving
