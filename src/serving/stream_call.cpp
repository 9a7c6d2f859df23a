#include "serving/stream_call.hpp"

#include <algorithm>
#include <string_view>

#include "serving/program_gate.hpp"
#include "serving/request_fingerprint.hpp"

namespace sailgate::serving {

namespace {

using Kind = wire::ErrorKind;

/// Maximum number of times a resumable stream is resumed.
constexpr int kMaxResumptions = 3;
constexpr unsigned kOk = 200;
/// Writing a finished turn to the store is retried until this long before the caller is expected to
/// abandon the stream.
constexpr net::Millis kRecordMargin{200};
/// Time before the deadline that the lookup and the reservation leave for the engine.
constexpr net::Millis kMinEngineTime{80};
/// Maximum wait for a slow store; long enough for several attempts of one store call.
constexpr net::Millis kSlowStoreWait{900};
/// Retry-After base when only some rows of the store are unreachable.
constexpr net::Millis kPartialOutageRetryAfter{1000};
/// Retries of callers refused during a store outage are spread over this percentage of the expected
/// outage.
constexpr std::uint64_t kRetrySpreadPercent = 50;
/// Callers refused because only this node lost the store retry at other nodes. Their retries are
/// spread over this time, a fraction of the queueing delay there if all of them arrived at once.
constexpr net::Millis kFailoverSpread{150};
/// Callers abandon a stream after a pause without events. The pause is the longest of this time, a
/// multiple of the route's latency objective and a multiple of its latency objective between
/// events.
constexpr net::Millis kMinEventPatience{2000};
constexpr int kEventPatienceObjectives = 4;
constexpr int kEventPatienceGaps = 8;
/// Interval at which a held turn checks the store, its caller and shutdown; small compared with the
/// latency objectives.
constexpr net::Millis kHoldPoll{10};
/// Nobody who knows the version was reached; another node may reach somebody.
constexpr net::Millis kUnknownOriginRetryAfter{100};

}  // namespace

net::asio::awaitable<CallEnd> StreamCall::run() {
  CallEnd end;
  try {
    end = co_await prepare_and_serve();
  } catch (...) {
    // Release the reservation of a call that failed.
    end_turn(nullptr, "");
    throw;
  }
  const bool abandoned = !response_started_ && call_.channel.gone();
  if (abandoned) state_.caller_wait_estimator.record(call_.elapsed(), true, net::Clock::now());
  co_return end;
}

net::asio::awaitable<CallEnd> StreamCall::prepare_and_serve() {
  if (const auto refused = co_await find_origin()) co_return *refused;
  if (const auto refused = co_await restore_events()) co_return *refused;
  if (const auto refused = co_await prepare()) co_return *refused;
  if (const auto refused = co_await apply_load_limit()) {
    end_turn(nullptr, "");
    co_return *refused;
  }
  auto end = co_await serve();
  end_turn(nullptr, "");
  if (first_turn_ && std::string_view(end.outcome) == "answered") {
    state_.admission.record_first_turn(call_.service, call_.elapsed() - store_wait_);
  }
  co_return end;
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::find_origin() {
  const auto& description = call_.description;
  if (description.last_event_id.empty()) co_return std::nullopt;
  if (description.resumed_attempt.empty()) {
    call_.required_version = co_await find_only_version();
  } else {
    cluster::StreamOrigins::Stream stream;
    stream.request = request_fingerprint(call_);
    stream.attempt = call_.key_of(description.resumed_attempt).text();
    call_.required_version = co_await state_.stream_origins.find(std::move(stream), call_.deadline);
  }
  const bool known = call_.required_version.has_value();
  state_.metrics.resumption(known);
  state_.log.event("resumption")
      .with("id", description.request_id)
      .with("resumes", description.resumed_attempt)
      .with("after", description.last_event_id)
      .with("known", static_cast<int>(known))
      .with("engine_version", call_.required_version.value_or(""));
  if (known) co_return std::nullopt;
  co_return co_await refuse(call_, Kind::kNoFeasibleBackend, kUnknownOriginRetryAfter);
}

net::asio::awaitable<std::optional<std::string>> StreamCall::find_only_version() {
  const auto begun =
      co_await state_.stream_origins.find_all(request_fingerprint(call_), call_.deadline);
  if (begun.size() == 1) co_return *begun.begin();
  if (!begun.empty()) co_return std::nullopt;
  const auto now = net::Clock::now();
  state_.detect_stall(now);
  const auto since = now - cluster::StreamOrigins::kRetention;
  const auto seen = state_.engines.sole_software_version(call_.service, since);
  const bool reports_versions = seen && !seen->empty();
  if (!reports_versions || state_.engines.observed_all_since(since)) co_return seen;
  // Engines of another version may have left before this node saw the list.
  const auto lasting = co_await state_.stream_origins.find_only(call_.service, call_.deadline);
  co_return lasting == seen ? lasting : std::nullopt;
}

std::string StreamCall::turn_identity() const {
  const auto& description = call_.description;
  const auto& fingerprint = request_fingerprint(call_);
  // Turns of a line follow one another, so that no two of them look alike.
  if (!description.program.empty() && !description.line.empty()) return fingerprint;
  const bool resumes = !description.last_event_id.empty();
  const auto& first_attempt = resumes ? description.resumed_attempt : description.request_id;
  return fingerprint + ' ' + first_attempt;
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::restore_events() {
  const auto& after = call_.description.last_event_id;
  if (after.empty() || !call_.route->retained) co_return std::nullopt;
  auto found = co_await state_.turn_progress.find(turn_identity(), after, call_.deadline);
  state_.metrics.turn_resumption(found.has_value());
  state_.log.event("turn_resumption")
      .with("id", call_.description.request_id)
      .with("program", call_.description.program)
      .with("fingerprint", call_.fingerprint)
      .with("after", after)
      .with("known", static_cast<int>(found.has_value()))
      .with("events", found ? found->events.size() : 0);
  // Without them the turn would be kept without its beginning.
  if (!found) co_return co_await refuse(call_, Kind::kNoFeasibleBackend, kUnknownOriginRetryAfter);
  earlier_events_ = std::move(*found);
  for (const auto& event : earlier_events_.events) {
    output_ += event.data;
    output_ += '\n';
  }
  co_return std::nullopt;
}

void StreamCall::share_events(const std::vector<StreamEvent>& events) {
  if (!call_.route->retained || !call_.route->resumable) return;
  if (shared_events_ == nullptr) {
    const auto begun = state_.store.clock().now(call_.received_at);
    shared_events_ = state_.turn_progress.begin(turn_identity(), call_.description.request_id,
                                                begun.value_or(0), earlier_events_);
  }
  cluster::TurnEvents shared;
  for (const auto& event : events) {
    wire::TurnEvent copy;
    copy.id = event.id;
    copy.data = event.data;
    shared.push_back(std::move(copy));
  }
  state_.turn_progress.append(shared_events_, shared);
}

bool StreamCall::version_known(const std::string& version) const {
  if (!version.empty()) return true;
  const auto& engines = state_.engines.of_service(call_.service);
  return std::all_of(engines.begin(), engines.end(),
                     [](const auto& engine) { return engine->record.software_version.empty(); });
}

void StreamCall::bind_to_version(const EngineExchange& exchange) {
  if (call_.required_version) return;
  const auto& version = exchange.software_version();
  call_.required_version = version;
  origin_known_ = version_known(version);
  if (!call_.route->resumable || !origin_known_) return;
  cluster::StreamOrigins::Stream stream;
  stream.request = request_fingerprint(call_);
  stream.attempt = call_.key_of(call_.description.request_id).text();
  state_.stream_origins.record(stream, version);
}

cluster::TurnRequest StreamCall::turn_request() const {
  const auto& description = call_.description;
  cluster::TurnRequest request;
  request.program = call_.key_of(description.program);
  request.line = description.line;
  if (call_.route->retained) request.previous = call_.key_of(description.previous_turn);
  const bool bounded =
      !description.program.empty() && description.token_budget && description.max_output_tokens > 0;
  if (bounded) {
    request.tokens = description.max_output_tokens;
    request.budget = *description.token_budget;
  }
  return request;
}

net::asio::awaitable<CallEnd> StreamCall::refuse_for_store(const char* why) {
  const auto outage = state_.store.expected_outage();
  const auto draw = state_.random.below(kRetrySpreadPercent);
  auto expected = outage.count() > 0 ? outage : kPartialOutageRetryAfter;
  if (state_.readiness.store_lost()) {
    // Only this node has lost the store: the retry delay covers failover to another node, not the
    // outage.
    const auto spread = kFailoverSpread * static_cast<std::int64_t>(draw) /
                        static_cast<std::int64_t>(kRetrySpreadPercent);
    expected = state_.readiness.time_to_failover(net::Clock::now()) + spread;
  }
  const bool all_callers_affected = outage.count() > 0 || state_.store.full();
  const auto wait = retry_delay(expected, call_.time_left(), all_callers_affected ? draw : 0);
  state_.log.event("refused_for_store")
      .with("id", call_.description.request_id)
      .with("why", why)
      .with("expected_outage_ms", outage.count())
      .with("steps_aside", static_cast<int>(state_.readiness.steps_aside()))
      .with("retry_after_ms", wait.count())
      .with("waited_ms", store_wait_.count())
      .with("held_ms", call_.elapsed().count());
  co_return co_await refuse(call_, Kind::kStoreUnavailable, wait);
}

net::Millis StreamCall::event_patience() const {
  const auto& route = *call_.route;
  return std::max({kMinEventPatience, route.objective * kEventPatienceObjectives,
                   route.event_gap * kEventPatienceGaps});
}

TurnInOutage StreamCall::outage_state() const {
  TurnInOutage turn;
  turn.remaining_outage = state_.store.expected_outage();
  turn.run_time = state_.turn_times.upper_estimate();
  turn.first_event = state_.first_event_times.upper_estimate();
  turn.time_left = call_.time_left();
  const auto observed_patience = state_.caller_wait_estimator.max_wait(net::Clock::now());
  turn.wait_left = std::min(event_patience(), observed_patience) - call_.elapsed();
  turn.held = state_.held_turns.count();
  turn.held_bytes = state_.held_turns.bytes();
  turn.bytes = call_.request.body().size();
  return turn;
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::handle_store_outage() {
  // Only this node has lost the store: the caller is served sooner by another node.
  if (state_.readiness.store_lost()) co_return co_await refuse_for_store("steps_aside");
  if (state_.store.full()) co_return co_await refuse_for_store("store_full");
  if (state_.store.answers()) co_return std::nullopt;
  if (!state_.settings.mechanisms.holding) co_return co_await refuse_for_store("store_away");
  const auto turn = outage_state();
  const auto decision = decide_in_outage(turn);
  if (decision.action == OutageAction::kRefuse) co_return co_await refuse_for_store(decision.why);
  state_.log.event(decision.action == OutageAction::kHold ? "turn_held" : "turn_begun_in_outage")
      .with("id", call_.description.request_id)
      .with("why", decision.why)
      .with("expected_outage_ms", turn.remaining_outage.count())
      .with("longest_ms", decision.longest.count())
      .with("run_ms", turn.run_time.count())
      .with("time_left_ms", turn.time_left.count())
      .with("wait_left_ms", turn.wait_left.count())
      .with("held", turn.held);
  if (decision.action == OutageAction::kBegin) co_return std::nullopt;
  co_return co_await wait_for_store(decision.longest);
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::wait_for_store(net::Millis longest) {
  const auto began = net::Clock::now();
  const auto ticket = state_.held_turns.add(call_.deadline, call_.request.body().size());
  const char* how = nullptr;
  while (how == nullptr) {
    co_await net::sleep_for(state_.context, kHoldPoll);
    const auto now = net::Clock::now();
    if (call_.channel.gone()) {
      how = "caller_gone";
    } else if (state_.shutdown.begun()) {
      how = "stopping";
    } else if (state_.readiness.store_lost()) {
      how = "steps_aside";
    } else if (state_.store.answers() && state_.held_turns.may_begin(ticket, now)) {
      how = "begun";
    } else if (now >= began + longest) {
      how = "in_vain";
    }
  }
  state_.held_turns.remove(ticket);
  const auto waited = std::chrono::duration_cast<net::Millis>(net::Clock::now() - began);
  store_wait_ += waited;
  const bool gone = call_.channel.gone();
  if (!gone) state_.caller_wait_estimator.record(call_.elapsed(), false, net::Clock::now());
  state_.metrics.held_turn_ended(how, waited);
  state_.log.event("held_turn_ended")
      .with("id", call_.description.request_id)
      .with("how", how)
      .with("waited_ms", waited.count())
      .with("held", state_.held_turns.count());
  if (gone) co_return CallEnd{"caller_gone", false};
  if (std::string_view(how) == "begun") co_return std::nullopt;
  co_return co_await refuse_for_store(how);
}

net::asio::awaitable<void> StreamCall::begin_turn(const cluster::TurnRequest& request) {
  const auto deadline =
      std::min(call_.deadline - kMinEngineTime, call_.received_at + store_wait_ + kSlowStoreWait);
  start_ = co_await state_.turns.begin(request, deadline);
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::prepare() {
  const auto request = turn_request();
  // A turn that cannot be made durable would waste engine time and the program's budget.
  if (call_.route->retained) {
    if (auto ended = co_await handle_store_outage()) co_return ended;
  }
  co_await begin_turn(request);
  if (start_.reservation == ledger::ReserveOutcome::kUnavailable && !state_.store.answers()) {
    if (auto ended = co_await handle_store_outage()) co_return ended;
    co_await begin_turn(request);
  }
  call_.home = start_.reservation_node;
  call_.line_engine = start_.engine;
  if (start_.lookup == ledger::LookupOutcome::kAbsent) {
    co_return co_await refuse(call_, Kind::kUnknownTurn);
  }
  if (start_.lookup == ledger::LookupOutcome::kUnavailable) {
    co_return co_await refuse_for_store("turn_not_read");
  }
  if (start_.reservation == ledger::ReserveOutcome::kExhausted) {
    co_return co_await refuse(call_, Kind::kBudgetExceeded);
  }
  if (start_.reservation == ledger::ReserveOutcome::kUnavailable) {
    co_return co_await refuse_for_store("tokens_not_reserved");
  }
  reserved_tokens_ = start_.reserved;
  prompt_ = call_.route->retained ? ledger::assemble_prompt(start_.previous, call_.request.body())
                                  : call_.request.body();
  co_return std::nullopt;
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::apply_load_limit() {
  const auto& description = call_.description;
  if (description.program.empty() || !description.previous_turn.empty()) co_return std::nullopt;
  if (!description.last_event_id.empty()) co_return std::nullopt;
  // If the program's home node knows the engine of the line, the program has already started,
  // possibly on another node. Without a reservation no home node was asked and the answer is
  // unknown: such turns are not refused.
  const bool starts_program =
      call_.route->retained || (reserved_tokens_ > 0 && call_.line_engine.empty());
  if (const auto wait = check_program_admission(state_, call_, starts_program)) {
    co_return co_await refuse(call_, Kind::kOverloaded, *wait);
  }
  first_turn_ = starts_program;
  co_return std::nullopt;
}

std::int64_t StreamCall::tokens_per_event() const {
  const auto* service = call_.routes->service(call_.service);
  return service == nullptr ? 1 : std::max(1, service->tokens_per_event);
}

void StreamCall::end_turn(const ledger::TurnPointer& turn, const std::string& engine) {
  if (turn_ended_) return;
  turn_ended_ = true;
  call_.tokens_out = events_ * tokens_per_event();
  cluster::TurnEnd end;
  end.program = call_.key_of(call_.description.program);
  end.line = call_.description.line;
  end.reserved = reserved_tokens_;
  end.used = std::min(call_.tokens_out, reserved_tokens_);
  end.turn = turn;
  end.engine = engine;
  state_.turns.end(end, start_);
}

net::asio::awaitable<CallEnd> StreamCall::serve() {
  const bool resumable = call_.route->resumable && state_.settings.mechanisms.resuming;
  for (int resumptions = 0; resumptions <= kMaxResumptions; ++resumptions) {
    auto dispatch = co_await dispatcher_.dispatch(call_, prompt_, resumable, last_event_id_);
    if (dispatch.failure != DispatchFailure::kNone) co_return co_await fail(dispatch.failure);
    auto& exchange = *dispatch.exchange;
    if (exchange.head().result_int() != kOk) co_return co_await forward_complete_response(exchange);
    const auto end = co_await relay(exchange);
    call_.exchange = nullptr;
    if (end == RelayOutcome::kComplete) {
      record_engine_success(exchange.engine());
      losses_.report_success(call_, exchange);
      if (!response_started_ && !co_await forward_events({}, exchange))
        co_return CallEnd{"caller_gone", false};
      exchange.finish();
      co_return co_await complete();
    }
    if (end == RelayOutcome::kCallerGone) {
      losses_.report_unfinished(call_, exchange);
      co_return CallEnd{"caller_gone", false};
    }
    if (end == RelayOutcome::kTimedOut) {
      losses_.report_unfinished(call_, exchange);
      co_return co_await fail(DispatchFailure::kTimedOut);
    }
    record_broken_attempt(state_, call_, exchange);
    state_.log.event("stream_broken")
        .with("id", call_.description.request_id)
        .with("engine", exchange.engine().record.id)
        .with("engine_version", exchange.engine().record.software_version)
        .with("events", events_)
        .with("resumable", static_cast<int>(resumable))
        .with("goes_on_at", call_.attempts.required_engine())
        .with("why", exchange.failure());
    const bool may_go_on = co_await losses_.report(call_, exchange);
    if (!may_go_on || !resumable || !origin_known_) break;
  }
  co_return co_await fail(DispatchFailure::kOutcomeUnknown);
}

net::asio::awaitable<CallEnd> StreamCall::forward_complete_response(EngineExchange& exchange) {
  std::string body;
  ResponseMemory::Share memory(state_.response_memory, [&exchange] { exchange.abort(); });
  const auto outcome = co_await read_body(state_, exchange, memory, body);
  call_.exchange = nullptr;
  if (outcome != ReadOutcome::kEnd || response_started_) {
    log_broken_response(state_, call_, exchange, body.size());
    if (outcome == ReadOutcome::kBroken) {
      record_broken_attempt(state_, call_, exchange);
      co_await losses_.report(call_, exchange);
    } else if (outcome != ReadOutcome::kEnd) {
      losses_.report_unfinished(call_, exchange);
    }
    co_return co_await fail(to_dispatch_failure(outcome));
  }
  auto head = exchange.head();
  record_engine_response(state_, exchange.engine(), head.result_int());
  exchange.finish();
  const bool delivered =
      co_await call_.channel.write_answer(std::move(head), std::move(body), false);
  co_return CallEnd{delivered ? "engine_status" : "caller_gone", delivered};
}

net::asio::awaitable<StreamCall::RelayOutcome> StreamCall::relay(EngineExchange& exchange) {
  EventScanner scanner;
  const bool prompt_cached = call_.line_engine == exchange.engine().record.id;
  StreamTiming timing(exchange.started_at(), prompt_cached);
  const bool resumed = !last_event_id_.empty();
  ResponseMemory::Share memory(state_.response_memory, [&exchange] { exchange.abort(); });
  std::string bytes;
  while (true) {
    bytes.clear();
    const auto outcome = co_await exchange.read_some(bytes);
    auto events = scanner.feed(bytes);
    const auto held = scanner.partial_bytes() + output_.size();
    if (!hold_bytes(state_, exchange, memory, held)) co_return RelayOutcome::kBroken;
    if (outcome == ReadOutcome::kEnd) {
      if (!resumed && !scanner.has_partial_event()) record_timings(exchange, timing);
      co_return scanner.has_partial_event() ? RelayOutcome::kBroken : RelayOutcome::kComplete;
    }
    if (outcome == ReadOutcome::kTimedOut) co_return RelayOutcome::kTimedOut;
    if (outcome == ReadOutcome::kAborted) co_return RelayOutcome::kCallerGone;
    if (outcome == ReadOutcome::kBroken) co_return RelayOutcome::kBroken;
    if (events.empty()) continue;
    timing.record_events(events.size(), net::Clock::now());
    if (!co_await forward_events(std::move(events), exchange)) co_return RelayOutcome::kCallerGone;
    timing.record_delivery(net::Clock::now());
  }
}

void StreamCall::record_timings(EngineExchange& exchange, const StreamTiming& timing) {
  if (!state_.settings.mechanisms.speeds) return;
  const auto now = net::Clock::now();
  const auto times = timing.times(now);
  if (times) state_.exchange_times.record_stream(exchange.engine(), *times, now);
}

net::asio::awaitable<bool> StreamCall::forward_events(std::vector<StreamEvent> events,
                                                      EngineExchange& exchange) {
  if (!response_started_) {
    response_started_ = true;
    bind_to_version(exchange);
    state_.metrics.first_event(call_.elapsed());
    state_.caller_wait_estimator.record(call_.elapsed(), false, net::Clock::now());
    state_.first_event_times.observe(call_.elapsed() - store_wait_);
    auto head = exchange.head();
    if (!co_await call_.channel.begin_chunked(std::move(head))) co_return false;
  }
  share_events(events);
  std::string chunk;
  for (auto& event : events) {
    chunk += event.text;
    output_ += event.data;
    output_ += '\n';
    if (!event.id.empty()) last_event_id_ = event.id;
    ++events_;
  }
  if (chunk.empty()) co_return true;
  co_return co_await call_.channel.write_chunk(chunk);
}

net::asio::awaitable<CallEnd> StreamCall::complete() {
  state_.turn_times.observe(call_.elapsed() - store_wait_);
  ledger::TurnPointer turn;
  if (call_.route->retained) {
    const auto key = call_.key_of(call_.description.request_id);
    turn = std::make_shared<const ledger::Turn>(
        ledger::Turn{key.text(), call_.request.body(), output_, start_.previous});
    const bool holding = state_.settings.mechanisms.holding;
    const auto patience = holding ? event_patience() : kMinEventPatience;
    const auto deadline = std::min(call_.deadline, net::Clock::now() + patience - kRecordMargin);
    if (!co_await state_.ledger.turns.record(turn, call_.route->retention, deadline)) {
      co_return CallEnd{"turn_not_durable", false};
    }
  }
  end_turn(turn, call_.offered.back());
  const bool delivered = co_await call_.channel.end_chunked();
  co_return CallEnd{delivered ? "answered" : "caller_gone", delivered};
}

net::asio::awaitable<CallEnd> StreamCall::fail(DispatchFailure failure) {
  if (!response_started_) co_return co_await answer_failure(call_, failure);
  // The response has started: omit the final chunk so that the caller detects the truncation.
  co_return CallEnd{failure == DispatchFailure::kTimedOut ? "stream_timed_out" : "stream_cut",
                    false};
}

}  // namespace sailgate::serving
