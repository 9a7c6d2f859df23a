#include "serving/stream_call.hpp"

#include <algorithm>

namespace sailgate::serving {

namespace {

using Kind = wire::ErrorKind;

/// Most engines that a resumable stream goes on at after its first one.
constexpr int kMostResumptions = 3;
constexpr unsigned kOk = 200;
/// A finished turn is kept trying to become durable this long while its caller waits.
constexpr net::Millis kRecordTime{1800};
/// Reading and reserving leave the engine at least this much of the request's time.
constexpr net::Millis kEngineTime{300};

DispatchFailure failure_of(ReadOutcome outcome) {
  if (outcome == ReadOutcome::kTimedOut) return DispatchFailure::kTimedOut;
  if (outcome == ReadOutcome::kAborted) return DispatchFailure::kCallerGone;
  return DispatchFailure::kOutcomeUnknown;
}

}  // namespace

net::asio::awaitable<CallEnd> StreamCall::run() {
  if (const auto refused = co_await prepare()) co_return *refused;
  auto end = co_await serve();
  settle_budget();
  co_return end;
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::prepare() {
  if (auto refused = co_await find_previous()) co_return refused;
  co_return co_await reserve_budget();
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::find_previous() {
  const auto& wanted = call_.description.previous_turn;
  if (!call_.route->retained) {
    prompt_ = call_.request.body();
    co_return std::nullopt;
  }
  if (!wanted.empty()) {
    const auto found = co_await state_.ledger.find_turn(wanted, call_.deadline - kEngineTime);
    if (found.outcome == ledger::LookupOutcome::kAbsent) {
      co_return co_await refuse(call_, Kind::kUnknownTurn);
    }
    if (found.outcome == ledger::LookupOutcome::kUnavailable) {
      co_return co_await refuse(call_, Kind::kStoreUnavailable);
    }
    previous_ = found.turn;
  }
  prompt_ = ledger::assemble_prompt(previous_, call_.request.body());
  co_return std::nullopt;
}

net::asio::awaitable<std::optional<CallEnd>> StreamCall::reserve_budget() {
  const auto& description = call_.description;
  const bool bounded = !description.program.empty() && description.token_budget &&
                       description.max_output_tokens > 0;
  if (!bounded) co_return std::nullopt;
  const auto outcome =
      co_await state_.ledger.reserve(description.program, description.max_output_tokens,
                                     *description.token_budget, call_.deadline - kEngineTime);
  if (outcome == ledger::ReserveOutcome::kExhausted) {
    co_return co_await refuse(call_, Kind::kBudgetExceeded);
  }
  if (outcome == ledger::ReserveOutcome::kUnavailable) {
    co_return co_await refuse(call_, Kind::kStoreUnavailable);
  }
  reserved_ = description.max_output_tokens;
  co_return std::nullopt;
}

void StreamCall::settle_budget() {
  if (reserved_ == 0) return;
  const auto* service = call_.routes->service(call_.service);
  const std::int64_t per_event = service == nullptr ? 1 : std::max(1, service->tokens_per_event);
  const auto used = std::min(events_ * per_event, reserved_);
  state_.ledger.settle(call_.description.program, reserved_, used);
  reserved_ = 0;
}

net::asio::awaitable<CallEnd> StreamCall::serve() {
  const bool resumable = call_.route->resumable;
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
    if (end == RelayEnd::kTimedOut) co_return co_await fail(DispatchFailure::kTimedOut);
    state_.log.event("stream_broken")
        .with("id", call_.description.request_id)
        .with("engine", exchange.engine().record.id)
        .with("events", events_)
        .with("resumable", static_cast<int>(resumable));
    if (!resumable) break;
  }
  co_return co_await fail(DispatchFailure::kOutcomeUnknown);
}

net::asio::awaitable<CallEnd> StreamCall::pass_on_whole(EngineExchange& exchange) {
  std::string body;
  auto outcome = ReadOutcome::kData;
  while (outcome == ReadOutcome::kData) outcome = co_await exchange.read_some(body);
  call_.exchange = nullptr;
  if (outcome != ReadOutcome::kEnd || begun_) co_return co_await fail(failure_of(outcome));
  auto head = exchange.head();
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
  settle_budget();
  if (call_.route->retained) {
    auto turn = std::make_shared<const ledger::Turn>(ledger::Turn{
        call_.description.request_id, call_.request.body(), output_, previous_});
    const auto deadline = std::min(call_.deadline, net::Clock::now() + kRecordTime);
    if (!co_await state_.ledger.record_turn(std::move(turn), deadline)) {
      co_return CallEnd{"turn_not_durable", false};
    }
  }
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
