#include "serving/dispatcher.hpp"

#include <algorithm>

#include "balancing/engine_selector.hpp"

namespace sailgate::serving {

namespace {

namespace http = net::http;

/// Most engines one request is offered to.
constexpr std::size_t kMostOffers = 4;
/// An engine that refused for want of room is passed over this long.
constexpr net::Millis kRefusalPause{80};
/// An engine that failed is passed over this long for each failure in a row.
constexpr net::Millis kFailurePause{300};
constexpr int kMostCountedFailures = 8;
/// The engine's work must end before ours: it gets this much less time than is left.
constexpr net::Millis kDeadlineMargin{20};
/// Prompts of so many tokens are placed where any node would look for them, so that a program whose
/// home is lost still finds its cache: reading them again takes an engine 25 to 60 ms. Shorter ones
/// go where the node is connected and the load is low. All placed like the short ones: 0.897 to
/// 0.859 worth where prompts hold 14,000 tokens and all nodes are killed (means of six runs), 0.674
/// to 0.714 in bursts where they hold 1,200 (one run each).
constexpr std::int64_t kLongPrompt = 4096;

constexpr unsigned kServerErrors = 500;
/// Answers of 500 in a row that do not make a node avoid the engine: tools answer one call in a
/// hundred so, and the other nodes hear of each all the same.
constexpr int kSparedFaults = 1;
/// An engine's answer when a request's time is over: it says nothing of the engine.
constexpr unsigned kGatewayTimeout = 504;

void remove_hop_fields(net::TextRequest& request) {
  std::vector<std::string> listed;
  for (const auto& token : http::token_list(request[http::field::connection])) {
    listed.emplace_back(token.data(), token.size());
  }
  for (const auto& name : listed) request.erase(name);
  for (const auto field :
       {http::field::connection, http::field::keep_alive, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade, http::field::expect,
        http::field::content_length, http::field::proxy_authorization}) {
    request.erase(field);
  }
  request.erase("Proxy-Connection");
}

/// A status by which an answer promises that the request did not run and never will.
bool promises_not_run(unsigned status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/// Whether an answer may go back to the caller: a success carries the engine's signature, and a
/// failure does not promise what the engine did not say.
bool is_acceptable(const EngineExchange& exchange) {
  const auto status = exchange.head().result_int();
  return is_success(status) ? exchange.facts().sealed : !promises_not_run(status);
}

}  // namespace

bool is_success(unsigned status) { return status >= 200 && status < 300; }

DispatchFailure failure_of(ReadOutcome outcome) {
  if (outcome == ReadOutcome::kTimedOut) return DispatchFailure::kTimedOut;
  if (outcome == ReadOutcome::kAborted) return DispatchFailure::kCallerGone;
  return DispatchFailure::kOutcomeUnknown;
}

void log_answer_broken(NodeState& state, const Call& call, const EngineExchange& exchange,
                       std::size_t bytes) {
  state.log.event("answer_broken")
      .with("id", call.description.request_id)
      .with("engine", exchange.engine().record.id)
      .with("status", exchange.head().result_int())
      .with("bytes", bytes)
      .with("why", exchange.failure());
}

void note_broken_attempt(Call& call, const EngineExchange& exchange) {
  const auto& engine = exchange.engine().record.id;
  if (exchange.was_reset()) {
    call.attempts.note_reset(engine);
  } else {
    call.attempts.note_ended(engine);
  }
}

namespace {

/// @param spared failures in a row that do not yet make the node avoid the engine.
void count_failure(NodeState& state, balancing::Engine& engine, const char* what, int spared) {
  engine.consecutive_failures = std::min(engine.consecutive_failures + 1, kMostCountedFailures);
  engine.failed_at = net::Clock::now();
  engine.avoid_until = engine.failed_at + kFailurePause * (engine.consecutive_failures - spared);
  state.log.event("engine_failed")
      .with("engine", engine.record.id)
      .with("what", what)
      .with("failures", engine.consecutive_failures);
}

}  // namespace

void note_failure(NodeState& state, balancing::Engine& engine, const char* what) {
  count_failure(state, engine, what, 0);
}

bool is_engine_failure(unsigned status) {
  return status >= kServerErrors && status != kGatewayTimeout;
}

void note_answer(NodeState& state, balancing::Engine& engine, unsigned status) {
  if (is_engine_failure(status)) {
    count_failure(state, engine, "status", kSparedFaults);
  } else {
    note_success(engine);
  }
}

void note_success(balancing::Engine& engine) {
  engine.consecutive_failures = 0;
  engine.avoid_until = {};
  engine.answered_at = net::Clock::now();
}

std::shared_ptr<const net::TextRequest> Dispatcher::engine_request(
    const Call& call, const balancing::Engine& engine, const std::string& body,
    const std::string& last_event_id) const {
  auto request = std::make_shared<net::TextRequest>(call.request.base());
  remove_hop_fields(*request);
  DispatchDirectives directives;
  directives.expected_instance = engine.record.entry_key();
  directives.deadline = std::max(call.time_left() - kDeadlineMargin, net::Millis(1));
  directives.priority = call.priority();
  directives.tenant = call.tenant_name();
  directives.last_event_id = last_event_id;
  state_.protocol.apply_directives(*request, directives);
  request->version(11);
  request->body() = body;
  request->prepare_payload();
  return request;
}

balancing::EnginePointer Dispatcher::required_engine(const std::string& id) {
  auto engine = state_.engines.find(id);
  const bool usable = engine != nullptr && engine->usable();
  return usable ? std::move(engine) : nullptr;
}

void Dispatcher::note_attempt(Call& call, EngineExchange& exchange, OfferEnd end) {
  const auto& id = exchange.engine().record.id;
  const bool gone =
      end == OfferEnd::kNotSent || (end == OfferEnd::kRefused && exchange.facts().misdirected);
  if (gone) call.attempts.note_ended(id);
  if (end != OfferEnd::kBroken) return;
  note_broken_attempt(call, exchange);
}

balancing::EnginePointer Dispatcher::select(Call& call) {
  auto required = call.attempts.required_engine();
  // A run that another one has followed works on nothing any more.
  while (!required.empty() && state_.engines.has_ended(required)) {
    call.attempts.note_ended(required);
    required = call.attempts.required_engine();
  }
  if (!required.empty()) return required_engine(required);
  for (const auto& engine : state_.engines.of_service(call.service)) {
    engine->idle_connections = state_.connections.idle(engine->record.id);
  }
  balancing::SelectionQuery query;
  query.service = call.service;
  const auto& description = call.description;
  if (description.prompt_tokens >= kLongPrompt && state_.settings.mechanisms.affinity) {
    query.affinity_key = call.key_of(description.program).text();
    query.prompt = prompt_places(call);
  }
  query.line_engine = call.line_engine;
  if (state_.settings.mechanisms.speeds) {
    query.turn_to_prefill_ratio = state_.exchange_times.turn_to_prefill_ratio(call.service);
  }
  query.zone = state_.settings.zone;
  // Without avoidance no engine is avoided any more.
  query.now = state_.settings.mechanisms.avoidance ? net::Clock::now() : net::TimePoint::max();
  query.draw = state_.random.below(UINT64_MAX);
  query.excluded = call.offered;
  return balancing::select_engine(state_.engines, query);
}

const balancing::PromptReplicas* Dispatcher::prompt_places(const Call& call) {
  const auto& description = call.description;
  if (!state_.settings.mechanisms.prompts || description.shared_prefix.empty()) return nullptr;
  if (description.prompt_tokens < kLongPrompt) return nullptr;
  const auto prompt = balancing::prompt_key(call.service, description.shared_prefix);
  if (call.offered.empty()) {
    state_.prompt_demand.note(prompt, description.shared_prefix_tokens, net::Clock::now());
  }
  const auto placement = state_.prompt_placements.find(call.service);
  if (placement == state_.prompt_placements.end()) return nullptr;
  return &placement->second.replicas(prompt, state_.engines.of_service(call.service));
}

void Dispatcher::log_offer(const Call& call, const EngineExchange& exchange, const char* outcome) {
  const auto& engine = exchange.engine();
  const auto* replicas = prompt_places(call);
  state_.log.event("offer")
      .with("id", call.description.request_id)
      .with("engine", engine.record.id)
      .with("in_flight", engine.in_flight)
      .with("peer_in_flight", engine.peer_in_flight)
      .with("slots", engine.record.slots)
      .with("speed", engine.speed)
      .with("line_engine", call.line_engine)
      .with("keeps_prompt",
            replicas == nullptr ? -1 : static_cast<int>(replicas->hold(engine.record.id)))
      .with("kept_connection", static_cast<int>(exchange.on_kept_connection()))
      .with("outcome", outcome)
      .with("elapsed_ms", call.elapsed().count());
}

void Dispatcher::note_refusal(EngineExchange& exchange) {
  auto& engine = exchange.engine();
  if (exchange.facts().misdirected) {
    engine.leaving = true;
    state_.connections.drop(engine.record.id);
    return;
  }
  engine.avoid_until = net::Clock::now() + kRefusalPause;
}

std::optional<DispatchFailure> Dispatcher::reason_to_stop(const Call& call) {
  if (call.channel.gone()) return DispatchFailure::kCallerGone;
  if (call.time_left() <= kDeadlineMargin) return DispatchFailure::kTimedOut;
  return std::nullopt;
}

net::asio::awaitable<void> Dispatcher::finish_refusal(EngineExchange& exchange) {
  note_refusal(exchange);
  std::string ignored;
  while (co_await exchange.read_some(ignored) == ReadOutcome::kData) ignored.clear();
  exchange.finish();
}

void Dispatcher::log_broken(const Call& call, EngineExchange& exchange, OpenOutcome outcome) {
  const auto& engine = exchange.engine().record.id;
  if (outcome == OpenOutcome::kAnswered) {
    state_.log.event("answer_unacceptable")
        .with("id", call.description.request_id)
        .with("engine", engine)
        .with("status", exchange.head().result_int())
        .with("sealed", static_cast<int>(exchange.facts().sealed));
    return;
  }
  state_.log.event("exchange_broken")
      .with("id", call.description.request_id)
      .with("engine", engine)
      .with("kept_connection", static_cast<int>(exchange.on_kept_connection()))
      .with("why", exchange.failure());
}

net::asio::awaitable<Dispatcher::Offer> Dispatcher::offer(Call& call,
                                                          balancing::EnginePointer engine,
                                                          const std::string& body,
                                                          std::string last_event_id) {
  Offer result;
  call.offered.push_back(engine->record.id);
  result.exchange =
      std::make_unique<EngineExchange>(state_.connections, state_.protocol, engine, call.deadline);
  auto& exchange = *result.exchange;
  call.exchange = &exchange;
  const auto request = engine_request(call, *engine, body, last_event_id);
  const auto outcome = co_await exchange.open(request, call.description.request_id);
  const bool answered = outcome == OpenOutcome::kAnswered;
  if (answered && exchange.facts().not_run) {
    log_offer(call, exchange, "refused");
    co_await finish_refusal(exchange);
    result.end = OfferEnd::kRefused;
  } else if (answered && is_acceptable(exchange)) {
    log_offer(call, exchange, "answered");
    result.end = OfferEnd::kAnswered;
  } else if (outcome == OpenOutcome::kNotSent) {
    log_offer(call, exchange, "not_sent");
    note_failure(state_, *engine, "connect");
    result.end = OfferEnd::kNotSent;
  } else if (outcome == OpenOutcome::kAborted) {
    result.end = OfferEnd::kAborted;
  } else if (outcome == OpenOutcome::kTimedOut) {
    log_offer(call, exchange, "timed_out");
    result.end = OfferEnd::kTimedOut;
  } else {
    log_broken(call, exchange, outcome);
    log_offer(call, exchange, "broken");
    note_failure(state_, *engine, "broken");
    result.end = OfferEnd::kBroken;
  }
  note_attempt(call, exchange, result.end);
  if (result.end != OfferEnd::kAnswered) call.exchange = nullptr;
  const bool unseen = result.end == OfferEnd::kRefused || result.end == OfferEnd::kNotSent;
  if (!unseen) call.may_have_run = true;
  co_return result;
}

net::asio::awaitable<DispatchResult> Dispatcher::dispatch(Call& call, const std::string& body,
                                                          bool repeatable,
                                                          std::string last_event_id) {
  DispatchResult result;
  bool refused = false;
  for (std::size_t offers = 0; offers < kMostOffers; ++offers) {
    if (const auto reason = reason_to_stop(call)) {
      result.failure = *reason;
      co_return result;
    }
    auto engine = select(call);
    if (engine == nullptr) break;
    auto offered = co_await offer(call, std::move(engine), body, last_event_id);
    switch (offered.end) {
      case OfferEnd::kAnswered:
        result.exchange = std::move(offered.exchange);
        co_return result;
      case OfferEnd::kAborted:
        result.failure = DispatchFailure::kCallerGone;
        co_return result;
      case OfferEnd::kTimedOut:
        result.failure = DispatchFailure::kTimedOut;
        co_return result;
      case OfferEnd::kRefused:
        refused = true;
        if (call.attempts.required_engine().empty()) break;
        result.failure = DispatchFailure::kOutcomeUnknown;
        co_return result;
      case OfferEnd::kNotSent:
        break;
      case OfferEnd::kBroken:
        if (repeatable) break;
        result.failure = DispatchFailure::kOutcomeUnknown;
        co_return result;
    }
  }
  if (call.may_have_run) {
    result.failure = DispatchFailure::kOutcomeUnknown;
  } else {
    result.failure = refused ? DispatchFailure::kRefused : DispatchFailure::kNoEngine;
  }
  co_return result;
}

}  // namespace sailgate::serving
