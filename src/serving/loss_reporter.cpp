#include "serving/loss_reporter.hpp"

#include <algorithm>

#include "serving/request_fingerprint.hpp"

namespace sailgate::serving {

namespace {

using balancing::EngineFate;
using balancing::EngineLoss;

/// An engine that sent something within this time has not ended.
constexpr net::Millis kMaxSilence{300};

EngineLoss loss_of(const Call& call, const EngineExchange& exchange) {
  EngineLoss loss;
  loss.engine = exchange.engine().record.id;
  loss.attempt = call.key_of(call.description.request_id).text();
  loss.shared = call.description.program.empty();
  loss.began = exchange.started_at();
  loss.ended = net::Clock::now();
  return loss;
}

}  // namespace

net::asio::awaitable<EngineFate> LossReporter::probe(balancing::EnginePointer engine,
                                                     std::string fingerprint, EngineLoss loss) {
  loss.fate = co_await state_.connections.probe(*engine);
  auto& losses = state_.request_losses;
  const auto fate = loss.fate;
  const auto attempt = loss.attempt;
  losses.record(fingerprint, std::move(loss));
  state_.metrics.engine_lost(balancing::name_of(fate));
  state_.log.event("engine_lost")
      .with("attempt", attempt)
      .with("fingerprint", fingerprint)
      .with("engine", engine->record.id)
      .with("fate", balancing::name_of(fate))
      .with("engines_lost", losses.lost_engines(fingerprint));
  co_return fate;
}

void LossReporter::synchronize_in_background(const std::string& fingerprint) {
  net::asio::co_spawn(state_.context, state_.request_losses.synchronize(fingerprint),
                      net::asio::detached);
}

net::asio::awaitable<bool> LossReporter::report(Call& call, const EngineExchange& exchange) {
  if (!state_.settings.mechanisms.quarantine) co_return true;
  const auto& fingerprint = request_fingerprint(call);
  auto loss = loss_of(call, exchange);
  const auto fate = co_await probe(exchange.engine_pointer(), fingerprint, std::move(loss));
  auto& losses = state_.request_losses;
  if (fate == EngineFate::kAlive) {
    synchronize_in_background(fingerprint);
    co_return !losses.is_quarantined(fingerprint);
  }
  if (fate == EngineFate::kEnded) call.attempts.record_finished(exchange.engine().record.id);
  const bool confirmed = co_await losses.synchronize(fingerprint);
  co_return confirmed && !losses.is_quarantined(fingerprint);
}

net::asio::awaitable<void> LossReporter::inspect(balancing::EnginePointer engine,
                                                 std::string fingerprint, EngineLoss loss) {
  co_await probe(std::move(engine), fingerprint, std::move(loss));
  co_await state_.request_losses.synchronize(std::move(fingerprint));
}

void LossReporter::report_unfinished(Call& call, const EngineExchange& exchange) {
  if (!state_.settings.mechanisms.quarantine || !exchange.was_sent()) return;
  const auto& engine = exchange.engine_pointer();
  const auto heard_at = std::max(engine->heard_at, exchange.started_at());
  if (net::Clock::now() < heard_at + kMaxSilence) return;
  net::asio::co_spawn(state_.context,
                      inspect(engine, request_fingerprint(call), loss_of(call, exchange)),
                      net::asio::detached);
}

void LossReporter::report_success(Call& call, const EngineExchange& exchange) {
  auto& losses = state_.request_losses;
  if (losses.empty()) return;
  const auto& fingerprint = request_fingerprint(call);
  if (!losses.knows(fingerprint)) return;
  losses.record_success(fingerprint, exchange.started_at());
  synchronize_in_background(fingerprint);
}

bool LossReporter::is_quarantined(Call& call) {
  auto& losses = state_.request_losses;
  if (losses.empty() || !state_.settings.mechanisms.quarantine) return false;
  const auto& fingerprint = request_fingerprint(call);
  if (!losses.is_quarantined(fingerprint)) return false;
  state_.metrics.quarantined_request();
  state_.log.event("request_quarantined")
      .with("id", call.description.request_id)
      .with("fingerprint", fingerprint)
      .with("engines_lost", losses.lost_engines(fingerprint));
  return true;
}

net::asio::awaitable<bool> LossReporter::may_send(Call& call) {
  if (is_quarantined(call)) co_return false;
  auto& losses = state_.request_losses;
  if (losses.empty() || !state_.settings.mechanisms.quarantine) co_return true;
  const auto& fingerprint = request_fingerprint(call);
  if (losses.lost_engines(fingerprint) == 0) co_return true;
  if (losses.recently_synchronized(fingerprint)) co_return true;
  const bool confirmed = co_await losses.synchronize(fingerprint);
  co_return confirmed && !is_quarantined(call);
}

}  // namespace sailgate::serving
