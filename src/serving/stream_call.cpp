#include "serving/stream_call.hpp"

#include <algorithm>

#include "serving/program_gate.hpp"

namespace sailgate::serving {

namespace {

using Kind = wire::ErrorKind;

/// Most engines that a resumable stream goes on at after its first one.
constexpr int kMostResumptions = 3;
constexpr unsigned kOk = 200;
/// A finished turn is kept trying to become durable this long while its caller waits: callers give
/// a stream up after two seconds without an event.
constexpr net::Millis kRecordTime{1800};
/// Reading and reserving leave the engine at least this much of the request's time.
constexpr net::Millis kEngineTime{80};
/// A turn waits this long for a store that answers slowly: some tries of a call.
constexpr net::Millis kStoreHold{900};
/// Callers heed a time to come back of up to this part of the time they have left.
constexpr int kReturnShare = 3;
constexpr net::Millis kShortestReturn{50};
/// Time to come back when only some of the store's rows cannot be reached.
constexpr net::Millis kLongestReturn{1000};
/// Callers that were refused while the store is away come back spread over this part of the time
/// that it is expected to be away, in parts of a hundred.
constexpr std::uint64_t kReturnSpread = 50;

}  // namespace

net::asio::awaitable<CallEnd> StreamCall::run() {
  if (const auto refused = co_await prepare()) co_return *refused;
  if (const auto refused = co_await hold_to_load()) {
    end_turn(nullptr, "");
    co_return *refused;
  }
  auto end = co_await serve();
  end_turn(nullptr, "");
  if (first_turn_ && std::string_view(end.outcome) == "answered") {
    state_.admission.note_first_turn(call_.service, call_.elapsed());
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

net::asio::awaitable<CallEnd> StreamCall::refuse_for_now() {
  const auto outage = state_.store.expected_outage();
  const auto spread = static_cast<std::int64_t>(state_.random.below(kReturnSpread));
  const auto expected = outage.count() > 0 ? outage + outage * spread / 100 : kLongestReturn;
  const auto longest = std::max(call_.time_left() / kReturnShare, kShortestReturn);
  const auto wait = std::clamp(expected, kShortestReturn, longest);
  state_.log.event("refused_for_store")
      .with("id", call_.description.request_id)
      .with("expected_outage_ms", outage.count())
      .with("retry_after_ms", wait.count())
      .with("held_ms", call_.elapsed().count());
  co_return co_await refuse(call_, Kind::kStoreUnavailable, wait);
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::prepare() {
  const auto request = turn_request();
  const auto deadline = std::min(call_.deadline - kEngineTime, call_.received_at + kStoreHold);
  // A turn that could not become durable at its end would be run for nothing, at the budget's cost.
  // Holding it for a store that is away served nobody: with 0.9 s of it, callers that leave early
  // (40 in 100, after 0.9 s) left without an answer, 3 in 100 of a day's worth.
  if (call_.route->retained && !state_.store.answers()) co_return co_await refuse_for_now();
  start_ = co_await state_.turns.begin(request, deadline);
  call_.home = start_.keeper;
  call_.line_engine = start_.engine;
  if (start_.lookup == ledger::LookupOutcome::kAbsent) {
    co_return co_await refuse(call_, Kind::kUnknownTurn);
  }
  if (start_.lookup == ledger::LookupOutcome::kUnavailable) co_return co_await refuse_for_now();
  if (start_.reservation == ledger::ReserveOutcome::kExhausted) {
    co_return co_await refuse(call_, Kind::kBudgetExceeded);
  }
  if (start_.reservation == ledger::ReserveOutcome::kUnavailable) {
    co_return co_await refuse_for_now();
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
  if (const auto wait = hold_program(state_, call_, begins)) {
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
  std::string bytes;
  while (true) {
    bytes.clear();
    const auto outcome = co_await exchange.read_some(bytes);
    if (outcome == ReadOutcome::kEnd) {
      co_return scanner.has_partial() ? RelayEnd::kBroken : RelayEnd::kWhole;
    }
    if (outcome == ReadOutcome::kTimedOut) co_return RelayEnd::kTimedOut;
    if (outcome == ReadOutcome::kAborted) co_return RelayEnd::kCallerGone;
    if (outcome == ReadOutcome::kBroken) co_return RelayEnd::kBroken;
    auto events = scanner.feed(bytes);
    if (events.empty()) continue;
    if (exceeds_reservation(events.size())) co_return RelayEnd::kTokensSpent;
    if (!co_await pass_on(std::move(events), exchange)) co_return RelayEnd::kCallerGone;
  }
}

net::asio::awaitable<bool> StreamCall::pass_on(std::vector<StreamEvent> events,
                                               EngineExchange& exchange) {
  if (!begun_) {
    begun_ = true;
    state_.metrics.first_event(call_.elapsed());
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
  ledger::TurnPointer turn;
  if (call_.route->retained) {
    const auto key = call_.key_of(call_.description.request_id);
    turn = std::make_shared<const ledger::Turn>(
        ledger::Turn{key.text(), call_.request.body(), output_, start_.previous});
    const auto deadline = std::min(call_.deadline, net::Clock::now() + kRecordTime);
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
