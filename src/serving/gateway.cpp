#include "serving/gateway.hpp"

#include <algorithm>

#include "net/endpoint.hpp"
#include "net/socket_state.hpp"
#include "readiness/fleet_view.hpp"

namespace sailgate::serving {

namespace {

constexpr net::Millis kMaintenanceInterval{100};
/// Without the readiness mechanism, a node reports itself as not ready after it has not reached the
/// store for this long.
constexpr net::Millis kMaxStoreSilence{3500};
constexpr net::Millis kStopPollInterval{50};
/// Time in which the other nodes learn that this one is no longer the home of any program.
constexpr net::Millis kHomeChangeNotice{300};
/// Timeout of each of the two steps that release tokens on shutdown.
constexpr net::Millis kReleaseTimeout{800};
constexpr net::Millis kAcceptRetryDelay{20};
/// Minimum silence after which the owner of a program shard counts as lost. Its escrow is lost with
/// it, so a short pause of its process must not suffice.
constexpr net::Millis kOwnerLossTimeout{2000};

}  // namespace

Gateway::Gateway(net::asio::io_context& context, NodeSettings settings,
                 const EdgeProtocol& protocol, const PlatformRecords& records,
                 store::TableStore& store, observe::StructuredLog& log, std::int64_t incarnation)
    : context_(context),
      state_(context, std::move(settings), protocol, store, log, incarnation),
      feeds_(state_, records, incarnation),
      engine_state_updater_(state_),
      reachability_monitor_(state_, [this] { close_idle_sessions(); }),
      silent_runs_(state_),
      acceptor_(context, state_.settings.callers),
      readiness_(context, state_.settings.readiness,
                 [this](net::TextRequest request) -> net::asio::awaitable<net::TextResponse> {
                   co_return answer_readiness(request);
                 }),
      peer_server_(context, state_.settings.peers,
                   [this](net::TextRequest request) { return answer_peer(std::move(request)); }) {
  state_.engines.on_unusable([this](const balancing::Engine& engine) {
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
    // Metrics are optional: the node serves callers without them.
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
    } else if (cluster::StreamOrigins::serves(path)) {
      response = state_.stream_origins.serve(request);
    } else if (cluster::TurnProgressLog::serves(path)) {
      response = state_.turn_progress.serve(request);
    } else if (cluster::RequestLosses::serves(path)) {
      response = state_.request_losses.serve(request);
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
  const bool path_matches = request.target() == state_.protocol.readiness_path();
  response.result(path_matches && ready() ? net::http::status::ok
                                          : net::http::status::service_unavailable);
  return response;
}

bool Gateway::ready() const {
  if (state_.shutdown.begun() || state_.routes == nullptr || !state_.engines_known) return false;
  if (!state_.quarantines_known()) return false;
  if (state_.settings.mechanisms.readiness) return !state_.readiness.steps_aside();
  return net::Clock::now() - feeds_.last_contact() < kMaxStoreSilence;
}

void Gateway::start() {
  readiness_.start();
  peer_server_.start();
  if (metrics_ != nullptr) metrics_->start();
  state_.beacons.start();
  net::asio::co_spawn(context_, accept(), net::asio::detached);
  feeds_.start();
  net::asio::co_spawn(context_, state_.store.probe_loop(), net::asio::detached);
  net::asio::co_spawn(context_, maintain(), net::asio::detached);
  net::asio::co_spawn(context_, state_.sweeper.run(), net::asio::detached);
  if (state_.settings.mechanisms.quarantine) {
    net::asio::co_spawn(context_, state_.request_losses.start(), net::asio::detached);
  }
  if (state_.settings.mechanisms.escrow) {
    state_.ledger.escrow.enable(escrow_peers());
    net::asio::co_spawn(context_, state_.ledger.escrow.run(), net::asio::detached);
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
      co_await net::sleep_for(context_, kAcceptRetryDelay);
      continue;
    }
    net::set_tcp_options(socket);
    auto session = std::make_shared<CallerSession>(state_, std::move(socket));
    net::asio::co_spawn(context_, serve(std::move(session)), net::asio::detached);
  }
}

net::asio::awaitable<void> Gateway::maintain() {
  while (true) {
    co_await net::sleep_for(context_, kMaintenanceInterval);
    const auto now = net::Clock::now();
    state_.detect_stall(now);
    state_.connections.expire(now);
    feeds_.maintain(now);
    state_.store.set_silence_limit(state_.beacons.silence_limit());
    state_.quotas.refresh(now, state_.beacons.silence_limit());
    state_.ledger.budgets.evict_idle(now);
    state_.request_losses.expire(now);
    if (state_.settings.mechanisms.quarantine) silent_runs_.maintain(now);
    state_.turn_progress.expire(now);
    engine_state_updater_.maintain(now);
    reachability_monitor_.maintain(now);
    if (state_.settings.mechanisms.fairness) apply_peer_starts(now);
    state_.metrics.set_escrow_shards(state_.ledger.escrow.spendable_shards().size(),
                                     state_.ledger.escrow.bare_shards().size());
    state_.metrics.set_open_reservations(state_.turns.open_reservations());
    state_.metrics.set_store_full(state_.store.full());
    state_.metrics.set_engines(state_.engines.size());
    state_.metrics.set_connections_opened(state_.connections.opened());
    state_.metrics.set_dropped_log_lines(state_.log.dropped());
    state_.log.flush();
  }
}

void Gateway::apply_peer_starts(net::TimePoint now) {
  const auto silence = state_.beacons.silence_limit();
  const auto seen = readiness::build_readiness_view(state_.peers, now, silence);
  const auto age = std::min(seen.own_zone.last_heard_age, seen.other_zones.last_heard_age);
  const auto heard_at = age == net::Millis::max() ? net::TimePoint{} : now - age;
  state_.admission.hear(state_.peers.begun(now, silence), state_.quotas.membership().heard,
                        heard_at);
}

void Gateway::close_idle_sessions() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->close_if_idle();
}

void Gateway::apply(const NodeSettings& settings) {
  state_.settings.stop_grace = settings.stop_grace;
  state_.settings.engine_heartbeat = settings.engine_heartbeat;
  state_.shutdown.set_grace(settings.stop_grace);
}

void Gateway::stop() {
  if (state_.shutdown.begun()) return;
  state_.shutdown.begin(net::Clock::now(), state_.settings.stop_grace);
  state_.log.event("stopping")
      .with("active_requests", state_.active_requests)
      .with("connections", sessions_.size());
  for (const auto& session : sessions_) session->close_after_response();
  net::asio::co_spawn(context_, finish_stop(), net::asio::detached);
}

ledger::EscrowPeers Gateway::escrow_peers() {
  const auto silence = [this] {
    return std::max(kOwnerLossTimeout, state_.beacons.silence_limit());
  };
  ledger::EscrowPeers peers;
  peers.unowned = [this, silence] {
    state_.detect_stall(net::Clock::now());
    std::set<int> own;
    for (const auto shard : state_.ledger.escrow.spendable_shards()) own.insert(shard);
    for (const auto shard : state_.ledger.escrow.bare_shards()) own.insert(shard);
    return state_.peers.shards_to_claim(own, ledger::kEscrowShards, net::Clock::now(), silence());
  };
  peers.is_alive = [this, silence](std::int64_t incarnation) {
    return state_.peers.heard(incarnation, net::Clock::now(), silence());
  };
  return peers;
}

net::asio::awaitable<void> Gateway::release_tokens() {
  co_await state_.ledger.escrow.hand_over(state_.ledger.budgets.escrow_spent(),
                                          net::Clock::now() + kReleaseTimeout);
  co_await net::sleep_for(context_, kHomeChangeNotice);
  co_await state_.ledger.budgets.release_all(net::Clock::now() + kReleaseTimeout);
}

net::asio::awaitable<void> Gateway::finish_stop() {
  co_await feeds_.unregister_self();
  net::asio::co_spawn(context_, release_tokens(), net::asio::detached);
  co_await net::sleep_until(context_, state_.shutdown.connections_close_at());
  net::Error ignored;
  acceptor_.close(ignored);
  // Connections whose response began before the shutdown become idle during it.
  while (!sessions_.empty() && net::Clock::now() < state_.shutdown.exits_at()) {
    close_idle_sessions();
    co_await net::sleep_for(context_, kStopPollInterval);
  }
  state_.log.event("stopped")
      .with("active_requests", state_.active_requests)
      .with("connections", sessions_.size());
  state_.log.flush();
  context_.stop();
}

}  // namespace sailgate::serving
