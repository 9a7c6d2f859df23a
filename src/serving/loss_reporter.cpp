#include "serving/loss_reporter.hpp"

#include <algorithm>

#include "serving/engine_probe.hpp"
#include "serving/request_fingerprint.hpp"

namespace sailgate::serving {

namespace {

using balancing::EngineFate;
using balancing::EngineLoss;

/// An engine that sent something within this time has not ended.
constexpr net::Millis kMaxSilence{300};
/// Interval at which a request that waits checks its caller.
constexpr net::Millis kWaitPoll{20};

EngineLoss loss_at(const EdgeProtocol& protocol, Call& call, const balancing::Engine& engine) {
  EngineLoss loss;
  loss.engine = engine.record.id;
  loss.attempt = call.key_of(call.description.request_id).text();
  loss.headers = header_digest(protocol, call);
  loss.shared = call.description.program.empty();
  loss.began = net::Clock::now();
  loss.ended = loss.began;
  return loss;
}

EngineLoss loss_of(const EdgeProtocol& protocol, Call& call, const EngineExchange& exchange) {
  auto loss = loss_at(protocol, call, exchange.engine());
  loss.began = exchange.started_at();
  return loss;
}

std::string health_path_of(const Call& call) {
  const auto* service = call.routes->service(call.service);
  return service == nullptr ? std::string() : service->health_path;
}

/// Whether the engine gave no sign of life between an earlier loss and this run of a request, which
/// then cannot have ended it.
bool silent_before(const balancing::Engine& engine, const EngineLoss& loss) {
  return engine.lost_at > engine.heard_at && engine.lost_at < loss.began;
}

/// Probes the engine, and records the loss with what that shows.
net::asio::awaitable<EngineFate> probe(NodeState& state, balancing::EnginePointer engine,
                                       std::string fingerprint, EngineLoss loss,
                                       std::string health_path) {
  loss.fate = co_await probe_engine(state, engine, std::move(health_path));
  loss.looked_at = net::Clock::now();
  auto& losses = state.request_losses;
  const auto fate = loss.fate;
  const auto attempt = loss.attempt;
  const auto headers = loss.headers;
  const bool counts = fate != EngineFate::kUnknown || !silent_before(*engine, loss);
  if (fate != EngineFate::kAlive && engine->lost_at <= engine->heard_at) {
    engine->lost_at = loss.ended;
  }
  if (counts) {
    losses.record(fingerprint, std::move(loss));
  } else {
    losses.withdraw(fingerprint, engine->record.id, attempt);
  }
  state.metrics.engine_lost(balancing::name_of(fate));
  const auto count = losses.count(fingerprint, headers);
  state.log.event("engine_lost")
      .with("attempt", attempt)
      .with("fingerprint", fingerprint)
      .with("headers", headers)
      .with("engine", engine->record.id)
      .with("fate", balancing::name_of(fate))
      .with("counts", static_cast<int>(counts))
      .with("engines_ended", count.ended)
      .with("engines_open", count.open)
      .with("engines_survived", count.survived);
  co_return fate;
}

/// Waits until the engine has been silent for long enough, then probes it and tells other nodes.
/// Outlives the call, hence also its reporter.
net::asio::awaitable<void> probe_and_tell(NodeState& state, balancing::EnginePointer engine,
                                          std::string fingerprint, EngineLoss loss,
                                          std::string health_path) {
  const auto silent_from = std::max(engine->heard_at, loss.began);
  const auto left = silent_from + kMaxSilence - net::Clock::now();
  if (left.count() > 0) {
    co_await net::sleep_for(state.context, std::chrono::duration_cast<net::Millis>(left));
  }
  if (engine->heard_at > loss.ended) {
    auto& losses = state.request_losses;
    const bool told = losses.withdraw(fingerprint, engine->record.id, loss.attempt);
    if (told) co_await losses.update_copies(std::move(fingerprint));
    co_return;
  }
  co_await probe(state, std::move(engine), fingerprint, std::move(loss), std::move(health_path));
  co_await state.request_losses.publish(std::move(fingerprint));
}

}  // namespace

void LossReporter::update_copies_in_background(const std::string& fingerprint) {
  net::asio::co_spawn(state_.context, state_.request_losses.update_copies(fingerprint),
                      net::asio::detached);
}

bool LossReporter::is_suspect(Call& call) {
  const auto& losses = state_.request_losses;
  if (losses.empty() || !state_.settings.mechanisms.quarantine) return false;
  const auto& fingerprint = request_fingerprint(call);
  if (!losses.knows(fingerprint)) return false;
  const auto count = losses.count(fingerprint, header_digest(state_.protocol, call));
  return count.ended + count.open > 0;
}

net::asio::awaitable<bool> LossReporter::record_send(Call& call, balancing::EnginePointer engine) {
  if (!is_suspect(call)) {
    notify_first_run(call, *engine, false);
    co_return true;
  }
  auto& losses = state_.request_losses;
  const auto& fingerprint = request_fingerprint(call);
  const auto count = losses.count(fingerprint, call.header_digest);
  // The last engine that may end must be known even if all nodes are lost with it.
  const bool last = count.ended + count.open + 1 >= balancing::LossCount::kMaxEnded;
  if (last && !state_.store.answers()) co_return false;
  auto loss = loss_at(state_.protocol, call, *engine);
  loss.running = true;
  losses.record(fingerprint, std::move(loss));
  const auto publication = co_await losses.publish(fingerprint);
  const bool may_send = publication.known_to_peers && (publication.stored || !last);
  if (!may_send) withdraw_send(call, *engine);
  co_return may_send;
}

void LossReporter::withdraw_send(Call& call, const balancing::Engine& engine) {
  auto& losses = state_.request_losses;
  const auto& fingerprint = request_fingerprint(call);
  const auto attempt = call.key_of(call.description.request_id).text();
  if (losses.withdraw(fingerprint, engine.record.id, attempt)) {
    update_copies_in_background(fingerprint);
  } else {
    notify_first_run(call, engine, true);
  }
}

void LossReporter::notify_first_run(Call& call, const balancing::Engine& engine, bool withdrawn) {
  // Of a request that many callers send, all runs of the last seconds would count.
  const bool shared = call.description.program.empty();
  if (shared || !state_.settings.mechanisms.quarantine) return;
  auto run = loss_at(state_.protocol, call, engine);
  run.running = true;
  run.withdrawn = withdrawn;
  state_.request_losses.notify_first_run(request_fingerprint(call), run);
}

bool LossReporter::report_silent(Call& call, const EngineExchange& exchange) {
  auto& losses = state_.request_losses;
  const auto& fingerprint = request_fingerprint(call);
  auto loss = loss_of(state_.protocol, call, exchange);
  loss.ended = loss.began;
  loss.running = true;
  loss.looked_at = net::Clock::now();
  if (losses.knows_run(fingerprint, loss.engine, loss.attempt)) return false;
  const auto silent_from = std::max(exchange.engine().heard_at, loss.began);
  const auto silence = std::chrono::duration_cast<net::Millis>(net::Clock::now() - silent_from);
  state_.log.event("engine_silent")
      .with("attempt", loss.attempt)
      .with("fingerprint", fingerprint)
      .with("engine", loss.engine)
      .with("for_ms", silence.count());
  balancing::note_silence(loss, state_.engines, net::Clock::now());
  losses.record(fingerprint, std::move(loss));
  net::asio::co_spawn(
      state_.context,
      [](NodeState& state, std::string silent) -> net::asio::awaitable<void> {
        co_await state.request_losses.publish(std::move(silent));
      }(state_, fingerprint),
      net::asio::detached);
  return true;
}

net::asio::awaitable<bool> LossReporter::report(Call& call, const EngineExchange& exchange) {
  if (!state_.settings.mechanisms.quarantine) co_return true;
  const auto& fingerprint = request_fingerprint(call);
  auto loss = loss_of(state_.protocol, call, exchange);
  const auto fate = co_await probe(state_, exchange.engine_pointer(), fingerprint, std::move(loss),
                                   health_path_of(call));
  if (fate == EngineFate::kEnded) call.attempts.record_finished(exchange.engine().record.id);
  auto& losses = state_.request_losses;
  const auto publication = co_await losses.publish(fingerprint);
  co_return publication.known_to_peers && !losses.is_quarantined(fingerprint, call.header_digest);
}

void LossReporter::report_unfinished(Call& call, const EngineExchange& exchange) {
  if (!state_.settings.mechanisms.quarantine || !exchange.was_sent()) return;
  const auto& engine = exchange.engine_pointer();
  net::asio::co_spawn(
      state_.context,
      probe_and_tell(state_, engine, request_fingerprint(call),
                     loss_of(state_.protocol, call, exchange), health_path_of(call)),
      net::asio::detached);
}

void LossReporter::report_success(Call& call, const EngineExchange& exchange) {
  auto& losses = state_.request_losses;
  if (losses.empty()) return;
  const auto& fingerprint = request_fingerprint(call);
  if (!losses.knows(fingerprint)) return;
  losses.record_success(fingerprint, header_digest(state_.protocol, call), exchange.started_at());
  update_copies_in_background(fingerprint);
}

bool LossReporter::is_quarantined(Call& call) {
  auto& losses = state_.request_losses;
  if (losses.empty() || !state_.settings.mechanisms.quarantine) return false;
  const auto& fingerprint = request_fingerprint(call);
  if (!losses.knows(fingerprint)) return false;
  const auto& headers = header_digest(state_.protocol, call);
  if (!losses.is_quarantined(fingerprint, headers)) return false;
  state_.metrics.quarantined_request();
  state_.log.event("request_quarantined")
      .with("id", call.description.request_id)
      .with("fingerprint", fingerprint)
      .with("headers", headers)
      .with("engines_ended", losses.count(fingerprint, headers).ended);
  return true;
}

net::asio::awaitable<void> LossReporter::look_again(Call& call) {
  const auto& fingerprint = request_fingerprint(call);
  for (auto& loss : state_.request_losses.losses_to_look_at(fingerprint)) {
    const auto engine = state_.engines.find(loss.engine);
    if (engine == nullptr) continue;
    loss.fate = co_await probe_engine(state_, engine, health_path_of(call));
    loss.looked_at = net::Clock::now();
    const auto after = std::chrono::duration_cast<net::Millis>(loss.looked_at - loss.ended);
    state_.log.event("engine_looked_at_again")
        .with("fingerprint", fingerprint)
        .with("engine", loss.engine)
        .with("fate", balancing::name_of(loss.fate))
        .with("after_ms", after.count());
    state_.request_losses.record(fingerprint, std::move(loss));
  }
}

net::asio::awaitable<bool> LossReporter::wait_until(Call& call, net::TimePoint time) {
  while (net::Clock::now() < time) {
    if (call.channel.gone()) co_return false;
    co_await net::sleep_until(state_.context, std::min(time, net::Clock::now() + kWaitPoll));
  }
  co_return true;
}

net::asio::awaitable<bool> LossReporter::may_send(Call& call) {
  if (is_quarantined(call)) co_return false;
  if (!is_suspect(call)) co_return true;
  auto& losses = state_.request_losses;
  const auto& fingerprint = request_fingerprint(call);
  const auto& headers = header_digest(state_.protocol, call);
  if (!losses.recently_synchronized(fingerprint) && !co_await losses.synchronize(fingerprint)) {
    co_return false;
  }
  while (true) {
    co_await look_again(call);
    if (is_quarantined(call)) co_return false;
    const auto count = losses.count(fingerprint, headers);
    if (!count.must_wait() || !count.settles_at) co_return true;
    const bool in_time = *count.settles_at < call.deadline;
    state_.log.event("request_waits_for_engines")
        .with("id", call.description.request_id)
        .with("fingerprint", fingerprint)
        .with("engines_ended", count.ended)
        .with("engines_open", count.open)
        .with("engines_survived", count.survived)
        .with("in_time", static_cast<int>(in_time));
    if (!in_time) call.settles_at = *count.settles_at;
    if (!in_time || !co_await wait_until(call, *count.settles_at)) co_return false;
  }
}

}  // namespace sailgate::serving
