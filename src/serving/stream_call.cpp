#include "serving/stream_call.hpp"

#include <algorithm>
#include <string_view>

#include "serving/program_gate.hpp"

namespace sailgate::serving {

namespace {

using Kind = wire::ErrorKind;

/// Most engines that a resumable stream goes on at after its first one.
constexpr int kMostResumptions = 3;
constexpr unsigned kOk = 200;
/// A finished turn is kept trying to become durable while its caller waits, until so long before
/// the caller gives the stream up.
constexpr net::Millis kRecordMargin{200};
/// Reading and reserving leave the engine at least this much of the request's time.
constexpr net::Millis kEngineTime{80};
/// A turn waits this long for a store that answers slowly: some tries of a call.
constexpr net::Millis kStoreHold{900};
/// Time to come back when only some of the store's rows cannot be reached.
constexpr net::Millis kLongestReturn{1000};
/// Callers that were refused while the store is away come back spread over this part of the time
/// that it is expected to be away, in parts of a hundred.
constexpr std::uint64_t kReturnSpread = 50;
/// Callers sent to other nodes arrive there spread over this time: a part of what they would wait
/// there if they all came at once.
constexpr net::Millis kElsewhereSpread{150};
/// Callers give a stream up after a pause without an event, the longest of: this time, so many
/// objectives of the route, so many of its longest pauses that are in time.
constexpr net::Millis kLeastEventPatience{2000};
constexpr int kObjectivesWaited = 4;
constexpr int kGapsWaited = 8;
/// A held turn looks so often for the store, its caller and a stop: a small part of an objective.
constexpr net::Millis kHoldPoll{10};

}  // namespace

net::asio::awaitable<CallEnd> StreamCall::run() {
  CallEnd end;
  try {
    end = co_await prepare_and_serve();
  } catch (...) {
    // Nothing stays reserved for a call that failed.
    end_turn(nullptr, "");
    throw;
  }
  const bool left = !begun_ && call_.channel.gone();
  if (left) state_.caller_wait_estimator.record(call_.elapsed(), true, net::Clock::now());
  co_return end;
}

net::asio::awaitable<CallEnd> StreamCall::prepare_and_serve() {
  if (const auto refused = co_await prepare()) co_return *refused;
  if (const auto refused = co_await hold_to_load()) {
    end_turn(nullptr, "");
    co_return *refused;
  }
  auto end = co_await serve();
  end_turn(nullptr, "");
  if (first_turn_ && std::string_view(end.outcome) == "answered") {
    state_.admission.record_first_turn(call_.service, call_.elapsed() - held_for_);
  }
  co_return end;
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

net::asio::awaitable<CallEnd> StreamCall::refuse_for_now(const char* why) {
  const auto outage = state_.store.expected_outage();
  const auto draw = state_.random.below(kReturnSpread);
  auto expected = outage.count() > 0 ? outage : kLongestReturn;
  if (state_.readiness.store_lost()) {
    // Another node can serve it, however long this one stays cut off.
    const auto part = kElsewhereSpread * static_cast<std::int64_t>(draw) /
                      static_cast<std::int64_t>(kReturnSpread);
    expected = state_.readiness.time_to_failover(net::Clock::now()) + part;
  }
  const bool for_all = outage.count() > 0 || state_.store.full();
  const auto wait = retry_delay(expected, call_.time_left(), for_all ? draw : 0);
  state_.log.event("refused_for_store")
      .with("id", call_.description.request_id)
      .with("why", why)
      .with("expected_outage_ms", outage.count())
      .with("steps_aside", static_cast<int>(state_.readiness.steps_aside()))
      .with("retry_after_ms", wait.count())
      .with("waited_ms", held_for_.count())
      .with("held_ms", call_.elapsed().count());
  co_return co_await refuse(call_, Kind::kStoreUnavailable, wait);
}

net::Millis StreamCall::event_patience() const {
  const auto& route = *call_.route;
  return std::max(
      {kLeastEventPatience, route.objective * kObjectivesWaited, route.event_gap * kGapsWaited});
}

TurnInOutage StreamCall::in_outage() const {
  TurnInOutage turn;
  turn.remaining_outage = state_.store.expected_outage();
  turn.run_time = state_.turn_times.upper_estimate();
  turn.first_event = state_.first_event_times.upper_estimate();
  turn.time_left = call_.time_left();
  const auto stays = state_.caller_wait_estimator.max_wait(net::Clock::now());
  turn.wait_left = std::min(event_patience(), stays) - call_.elapsed();
  turn.held = state_.held_turns.count();
  turn.held_bytes = state_.held_turns.bytes();
  turn.bytes = call_.request.body().size();
  return turn;
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::outlast_outage() {
  // Waiting here helps nobody whom another node can serve now.
  if (state_.readiness.store_lost()) co_return co_await refuse_for_now("steps_aside");
  if (state_.store.full()) co_return co_await refuse_for_now("store_full");
  if (state_.store.answers()) co_return std::nullopt;
  if (!state_.settings.mechanisms.holding) co_return co_await refuse_for_now("store_away");
  const auto turn = in_outage();
  const auto decision = decide_in_outage(turn);
  if (decision.action == OutageAction::kRefuse) co_return co_await refuse_for_now(decision.why);
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
    } else if (state_.stopping) {
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
  held_for_ = std::chrono::duration_cast<net::Millis>(net::Clock::now() - began);
  const bool gone = call_.channel.gone();
  if (!gone) state_.caller_wait_estimator.record(call_.elapsed(), false, net::Clock::now());
  state_.metrics.held_turn_ended(how, held_for_);
  state_.log.event("held_turn_ended")
      .with("id", call_.description.request_id)
      .with("how", how)
      .with("waited_ms", held_for_.count())
      .with("held", state_.held_turns.count());
  if (gone) co_return CallEnd{"caller_gone", false};
  if (std::string_view(how) == "begun") co_return std::nullopt;
  co_return co_await refuse_for_now(how);
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::prepare() {
  const auto request = turn_request();
  // A turn that could not become durable at its end would be run for nothing, at the budget's cost.
  if (call_.route->retained) {
    if (auto ended = co_await outlast_outage()) co_return ended;
  }
  const auto deadline =
      std::min(call_.deadline - kEngineTime, call_.received_at + held_for_ + kStoreHold);
  start_ = co_await state_.turns.begin(request, deadline);
  call_.home = start_.reservation_node;
  call_.line_engine = start_.engine;
  if (start_.lookup == ledger::LookupOutcome::kAbsent) {
    co_return co_await refuse(call_, Kind::kUnknownTurn);
  }
  if (start_.lookup == ledger::LookupOutcome::kUnavailable) {
    co_return co_await refuse_for_now("turn_not_read");
  }
  if (start_.reservation == ledger::ReserveOutcome::kExhausted) {
    co_return co_await refuse(call_, Kind::kBudgetExceeded);
  }
  if (start_.reservation == ledger::ReserveOutcome::kUnavailable) {
    co_return co_await refuse_for_now("tokens_not_reserved");
  }
  reserved_ = start_.reserved;
  reserved_whole_ = start_.reserved == request.tokens;
  prompt_ = call_.route->retained ? ledger::assemble_prompt(start_.previous, call_.request.body())
                                  : call_.request.body();
  co_return std::nullopt;
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::hold_to_load() {
  const auto& description = call_.description;
  if (description.program.empty() || !description.previous_turn.empty()) co_return std::nullopt;
  if (!description.last_event_id.empty()) co_return std::nullopt;
  // A line of turns whose engine the program's home knows has begun, whichever node it reaches.
  // Where no home was asked nobody can tell, so that nothing is refused.
  const bool begins = call_.route->retained || (reserved_ > 0 && call_.line_engine.empty());
  if (const auto wait = check_program_admission(state_, call_, begins)) {
    co_return co_await refuse(call_, Kind::kOverloaded, *wait);
  }
  first_turn_ = begins;
  co_return std::nullopt;
}

std::int64_t StreamCall::tokens_per_event() const {
  const auto* service = call_.routes->service(call_.service);
  return service == nullptr ? 1 : std::max(1, service->tokens_per_event);
}

bool StreamCall::exceeds_reservation(std::size_t more_events) const {
  if (reserved_whole_) return false;
  const auto events = events_ + static_cast<std::int64_t>(more_events);
  return events * tokens_per_event() > reserved_;
}

void StreamCall::end_turn(const ledger::TurnPointer& turn, const std::string& engine) {
  if (ended_) return;
  ended_ = true;
  call_.tokens_out = events_ * tokens_per_event();
  cluster::TurnEnd end;
  end.program = call_.key_of(call_.description.program);
  end.line = call_.description.line;
  end.reserved = reserved_;
  end.used = std::min(call_.tokens_out, reserved_);
  end.turn = turn;
  end.engine = engine;
  state_.turns.end(end, start_);
}

net::asio::awaitable<CallEnd> StreamCall::serve() {
  const bool resumable = call_.route->resumable && state_.settings.mechanisms.resuming;
  for (int resumptions = 0; resumptions <= kMostResumptions; ++resumptions) {
    auto dispatch = co_await dispatcher_.dispatch(call_, prompt_, resumable, last_event_id_);
    if (dispatch.failure != DispatchFailure::kNone) co_return co_await fail(dispatch.failure);
    auto& exchange = *dispatch.exchange;
    if (exchange.head().result_int() != kOk) co_return co_await pass_on_whole(exchange);
    const auto end = co_await relay(exchange);
    call_.exchange = nullptr;
    if (end == RelayEnd::kWhole) {
      note_success(exchange.engine());
      if (!begun_ && !co_await pass_on({}, exchange)) co_return CallEnd{"caller_gone", false};
      exchange.finish();
      co_return co_await complete();
    }
    if (end == RelayEnd::kCallerGone) co_return CallEnd{"caller_gone", false};
    if (end == RelayEnd::kTokensSpent) co_return co_await cut_short();
    if (end == RelayEnd::kTimedOut) co_return co_await fail(DispatchFailure::kTimedOut);
    note_broken_attempt(call_, exchange);
    state_.log.event("stream_broken")
        .with("id", call_.description.request_id)
        .with("engine", exchange.engine().record.id)
        .with("events", events_)
        .with("resumable", static_cast<int>(resumable))
        .with("goes_on_at", call_.attempts.required_engine())
        .with("why", exchange.failure());
    if (!resumable) break;
  }
  co_return co_await fail(DispatchFailure::kOutcomeUnknown);
}

net::asio::awaitable<CallEnd> StreamCall::cut_short() {
  state_.log.event("reservation_spent")
      .with("id", call_.description.request_id)
      .with("program", call_.description.program)
      .with("reserved", reserved_)
      .with("events", events_);
  co_return co_await fail(DispatchFailure::kOutcomeUnknown);
}

net::asio::awaitable<CallEnd> StreamCall::pass_on_whole(EngineExchange& exchange) {
  std::string body;
  auto outcome = ReadOutcome::kData;
  while (outcome == ReadOutcome::kData) outcome = co_await exchange.read_some(body);
  call_.exchange = nullptr;
  if (outcome != ReadOutcome::kEnd || begun_) {
    log_answer_broken(state_, call_, exchange, body.size());
    co_return co_await fail(failure_of(outcome));
  }
  auto head = exchange.head();
  note_answer(state_, exchange.engine(), head.result_int());
  exchange.finish();
  const bool taken = co_await call_.channel.write_answer(std::move(head), std::move(body), false);
  co_return CallEnd{taken ? "engine_status" : "caller_gone", taken};
}

net::asio::awaitable<StreamCall::RelayEnd> StreamCall::relay(EngineExchange& exchange) {
  EventScanner scanner;
  const bool prompt_cached = call_.line_engine == exchange.engine().record.id;
  StreamTiming timing(exchange.began_at(), prompt_cached);
  const bool resumed = !last_event_id_.empty();
  std::string bytes;
  while (true) {
    bytes.clear();
    const auto outcome = co_await exchange.read_some(bytes);
    if (outcome == ReadOutcome::kEnd) {
      if (!resumed && !scanner.has_partial()) note_times(exchange, timing);
      co_return scanner.has_partial() ? RelayEnd::kBroken : RelayEnd::kWhole;
    }
    if (outcome == ReadOutcome::kTimedOut) co_return RelayEnd::kTimedOut;
    if (outcome == ReadOutcome::kAborted) co_return RelayEnd::kCallerGone;
    if (outcome == ReadOutcome::kBroken) co_return RelayEnd::kBroken;
    auto events = scanner.feed(bytes);
    if (events.empty()) continue;
    if (exceeds_reservation(events.size())) co_return RelayEnd::kTokensSpent;
    timing.came(events.size(), net::Clock::now());
    if (!co_await pass_on(std::move(events), exchange)) co_return RelayEnd::kCallerGone;
    timing.taken(net::Clock::now());
  }
}

void StreamCall::note_times(EngineExchange& exchange, const StreamTiming& timing) {
  if (!state_.settings.mechanisms.speeds) return;
  const auto now = net::Clock::now();
  const auto times = timing.times(now);
  if (times) state_.exchange_times.record_stream(exchange.engine(), *times, now);
}

net::asio::awaitable<bool> StreamCall::pass_on(std::vector<StreamEvent> events,
                                               EngineExchange& exchange) {
  if (!begun_) {
    begun_ = true;
    state_.metrics.first_event(call_.elapsed());
    state_.caller_wait_estimator.record(call_.elapsed(), false, net::Clock::now());
    state_.first_event_times.observe(call_.elapsed() - held_for_);
    auto head = exchange.head();
    if (!co_await call_.channel.begin_chunked(std::move(head))) co_return false;
  }
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
  state_.turn_times.observe(call_.elapsed() - held_for_);
  ledger::TurnPointer turn;
  if (call_.route->retained) {
    const auto key = call_.key_of(call_.description.request_id);
    turn = std::make_shared<const ledger::Turn>(
        ledger::Turn{key.text(), call_.request.body(), output_, start_.previous});
    const bool holding = state_.settings.mechanisms.holding;
    const auto patience = holding ? event_patience() : kLeastEventPatience;
    const auto deadline = std::min(call_.deadline, net::Clock::now() + patience - kRecordMargin);
    if (!co_await state_.ledger.turns.record(turn, call_.route->retention, deadline)) {
      co_return CallEnd{"turn_not_durable", false};
    }
  }
  end_turn(turn, call_.offered.back());
  const bool taken = co_await call_.channel.end_chunked();
  co_return CallEnd{taken ? "answered" : "caller_gone", taken};
}

net::asio::awaitable<CallEnd> StreamCall::fail(DispatchFailure failure) {
  if (!begun_) co_return co_await answer_failure(call_, failure);
  // The answer has begun: it ends without its last chunk, so that it cannot look complete.
  co_return CallEnd{failure == DispatchFailure::kTimedOut ? "stream_timed_out" : "stream_cut",
                    false};
}

}  // namespace sailgate::serving
