#include "serving/gateway.hpp"

#include <algorithm>
#include <map>

#include "net/endpoint.hpp"
#include "net/socket_state.hpp"
#include "readiness/fleet_view.hpp"

namespace sailgate::serving {

namespace {

constexpr net::Millis kMaintenanceInterval{100};
/// Engines of shared prompts are settled anew this often: within it all nodes hear what the others
/// are asked for, and it is a small part of the window in which requests count.
constexpr net::Millis kPromptInterval{1000};
/// Lines a service and time about prompts whose number of engines changed; each tells how many did.
constexpr std::size_t kMostPlacesLines = 4;
/// Without the readiness mechanism: a node that has not reached the store for this long asks
/// callers to go elsewhere.
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
/// Other zones are heard several times a second: after this silence the store is asked as well, so
/// that both are known when a decision is due.
constexpr net::Millis kSilenceToVerify{400};
/// A connection to another zone that takes longer would not serve callers in time either.
constexpr net::Millis kZoneTryTime{250};
/// An owner of programs that was not heard of for so long is taken to be lost: its escrow with it,
/// so a pause of its process should not be enough.
constexpr net::Millis kOwnerSilence{2000};

}  // namespace

Gateway::Gateway(net::asio::io_context& context, NodeSettings settings,
                 const EdgeProtocol& protocol, const PlatformRecords& records,
                 store::TableStore& store, observe::StructuredLog& log, std::int64_t incarnation)
    : context_(context),
      state_(context, std::move(settings), protocol, store, log, incarnation),
      feeds_(state_, records, incarnation),
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
  if (state_.stopping || state_.routes == nullptr || !state_.engines_known) return false;
  if (state_.settings.mechanisms.readiness) return !state_.readiness.steps_aside();
  return net::Clock::now() - feeds_.last_contact() < kContactTime;
}

void Gateway::start() {
  readiness_.start();
  peer_server_.start();
  if (metrics_ != nullptr) metrics_->start();
  state_.beacons.start();
  net::asio::co_spawn(context_, accept(), net::asio::detached);
  feeds_.start();
  net::asio::co_spawn(context_, state_.store.keep_probing(), net::asio::detached);
  net::asio::co_spawn(context_, maintain(), net::asio::detached);
  net::asio::co_spawn(context_, state_.sweeper.run(), net::asio::detached);
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
    feeds_.maintain(now);
    state_.store.set_silence_limit(state_.beacons.silence_limit());
    state_.quotas.refresh(now, state_.beacons.silence_limit());
    state_.ledger.budgets.forget_idle(now);
    if (state_.settings.mechanisms.peer_loads) take_peer_loads(now);
    if (state_.settings.mechanisms.peer_failures) take_peer_failures(now);
    if (state_.settings.mechanisms.speeds) take_speeds(now);
    if (state_.settings.mechanisms.prompts) place_prompts(now);
    if (state_.settings.mechanisms.fairness) take_peer_begun(now);
    if (state_.settings.mechanisms.readiness) {
      take_readiness(now);
      take_zone_reach(now);
    }
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

void Gateway::take_peer_begun(net::TimePoint now) {
  auto begun = state_.peers.begun(now, state_.beacons.silence_limit());
  state_.admission.hear(std::move(begun), state_.quotas.membership().heard, now);
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

void Gateway::place_prompts(net::TimePoint now) {
  if (state_.routes == nullptr || now < prompts_placed_at_ + kPromptInterval) return;
  prompts_placed_at_ = now;
  auto counts = state_.prompt_demand.told(now);
  cluster::add_counts(state_.peers.figures(now, state_.beacons.silence_limit()).prompts, counts);
  std::size_t prompts = 0;
  std::size_t copies = 0;
  for (const auto& service : state_.routes->configuration().services) {
    balancing::PromptCounts of_service;
    for (const auto& [key, requests] : counts) {
      if (balancing::is_prompt_of(key, service.name)) of_service[key] = requests;
    }
    const auto tokens = state_.prompt_demand.mean_tokens(service.name, now);
    auto& placement = state_.prompt_placements[service.name];
    const auto changes =
        placement.update(of_service, state_.engines.of_service(service.name),
                         balancing::prompts_an_engine(service.engine_memory_tokens, tokens));
    log_places(service, tokens, changes);
    prompts += placement.prompts();
    copies += placement.copies();
  }
  state_.metrics.set_prompts(prompts, copies);
}

void Gateway::log_places(const routing::Service& service, double prompt_tokens,
                         const std::vector<balancing::PlacesChange>& changes) {
  std::size_t lines = 0;
  for (const auto& change : changes) {
    if (lines++ == kMostPlacesLines) break;
    state_.log.event("prompt_engines")
        .with("service", service.name)
        .with("memory_tokens", service.engine_memory_tokens)
        .with("prompt_tokens", static_cast<std::int64_t>(prompt_tokens))
        .with("prompt", change.prompt)
        .with("before", change.before)
        .with("after", change.after)
        .with("requests", change.requests)
        .with("all_requests", change.all_requests)
        .with("changes", changes.size());
  }
}

void Gateway::take_readiness(net::TimePoint now) {
  auto view = readiness::view_of(state_.peers, now, state_.beacons.silence_limit());
  if (view.other_zones.known > 0 && view.other_zones.newest_news >= kSilenceToVerify) {
    state_.store.verify();
  }
  const auto& reachability = state_.store.reachability();
  view.store_failures = reachability.failures_in_a_row();
  view.store_unanswered = reachability.unanswered(now);
  auto& tracker = state_.readiness;
  if (tracker.note(view, now)) {
    log_readiness(view);
    state_.metrics.set_steps_aside(tracker.steps_aside());
    idle_closed_ = false;
  }
  const bool noticed = tracker.aside_for(now) >= readiness::kEntryNotices;
  if (!noticed || idle_closed_ || state_.stopping) return;
  idle_closed_ = true;
  close_idle_sessions();
}

void Gateway::log_readiness(const readiness::ReadinessView& view) {
  const auto& tracker = state_.readiness;
  state_.log.event(tracker.steps_aside() ? "steps_aside" : "takes_callers_again")
      .with("why", readiness::name_of(tracker.latest().reason))
      .with("whole_zone", static_cast<int>(tracker.latest().whole_zone))
      .with("store_failures", view.store_failures)
      .with("store_unanswered_ms", view.store_unanswered.count())
      .with("zone_heard", view.own_zone.heard)
      .with("zone_reach_store", view.own_zone.reach_store)
      .with("zone_aside", view.own_zone.step_aside)
      .with("others_known", view.other_zones.known)
      .with("others_heard", view.other_zones.heard)
      .with("others_reach_store", view.other_zones.reach_store)
      .with("others_news_ms", view.other_zones.newest_news.count());
}

void Gateway::close_idle_sessions() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->close_if_idle();
}

net::asio::awaitable<void> Gateway::try_zone(balancing::EnginePointer engine) {
  net::beast::tcp_stream stream(context_);
  stream.expires_after(kZoneTryTime);
  net::Error error;
  co_await stream.async_connect(engine->record.endpoint, net::awaiting(error));
  if (!error) zone_reach_.note_sign(engine->record.zone, net::Clock::now());
}

void Gateway::take_zone_reach(net::TimePoint now) {
  for (const auto& [zone, at] : readiness::newest_signs(state_.peers)) {
    zone_reach_.note_sign(zone, at);
  }
  std::map<std::string, std::vector<balancing::EnginePointer>> elsewhere;
  for (const auto& engine : state_.engines.all()) {
    const auto& zone = engine->record.zone;
    if (zone == state_.settings.zone) continue;
    if (engine->answered_at != net::TimePoint{}) zone_reach_.note_sign(zone, engine->answered_at);
    elsewhere[zone].push_back(engine);
  }
  for (const auto& [zone, engines] : elsewhere) use_zone(zone, engines, now);
}

void Gateway::use_zone(const std::string& zone,
                       const std::vector<balancing::EnginePointer>& engines, net::TimePoint now) {
  if (zone_reach_.should_try(zone, now)) {
    const auto chosen = state_.random.below(engines.size());
    net::asio::co_spawn(context_, try_zone(engines[chosen]), net::asio::detached);
  }
  const bool silent = !zone_reach_.reachable(zone, now);
  bool changed = false;
  for (const auto& engine : engines) {
    changed = changed || engine->zone_silent != silent;
    engine->zone_silent = silent;
  }
  if (!changed) return;
  if (silent) state_.peers.suspect_zone(zone, now);
  state_.log.event(silent ? "zone_silent" : "zone_heard")
      .with("zone", zone)
      .with("engines", engines.size())
      .with("silent_ms", zone_reach_.silent_for(zone, now).count());
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
  co_await feeds_.unregister_self();
  net::asio::co_spawn(context_, release_tokens(), net::asio::detached);
  co_await net::sleep_for(context_, kEntryNotices);
  net::Error ignored;
  acceptor_.close(ignored);
  const auto limit = stop_began_ + state_.settings.stop_grace - kStopMargin;
  while (state_.active_requests > 0 && net::Clock::now() < limit) {
    co_await net::sleep_for(context_, kStopPoll);
  }
  // NOTE: nothing may be awaited from here on: idle connections would take requests that get cut.
  close_idle_sessions();
  state_.log.event("stopped").with("active_requests", state_.active_requests);
  state_.log.flush();
  context_.stop();
}

}  // namespace sailgate::serving
