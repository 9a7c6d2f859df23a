#include "serving/plain_call.hpp"

#include "net/milliseconds.hpp"

namespace sailgate::serving {

namespace {

/// Maximum number of repetitions of a repeatable request after truncated responses.
constexpr int kMaxRepeats = 2;

}  // namespace

net::asio::awaitable<CallEnd> PlainCall::run() {
  const bool repeatable = call_.route->repeatable();
  auto failure = DispatchFailure::kNone;
  for (int repeats = 0; repeats <= kMaxRepeats; ++repeats) {
    auto dispatch =
        co_await dispatcher_.dispatch(call_, call_.request.body(), repeatable, std::string());
    if (dispatch.failure != DispatchFailure::kNone) {
      co_return co_await answer_failure(call_, dispatch.failure);
    }
    auto& exchange = *dispatch.exchange;
    std::string body;
    ResponseMemory::Share memory(state_.response_memory, [&exchange] { exchange.abort(); });
    auto outcome = co_await read_body(state_, exchange, memory, body);
    call_.exchange = nullptr;
    if (outcome == ReadOutcome::kEnd) {
      losses_.report_success(call_, exchange);
      record_engine_response(state_, exchange.engine(), exchange.head().result_int());
      record_timing(exchange);
      auto head = exchange.head();
      exchange.finish();
      const bool head_only = call_.request.method() == net::http::verb::head;
      const bool delivered =
          co_await call_.channel.write_answer(std::move(head), std::move(body), head_only);
      co_return CallEnd{delivered ? "answered" : "caller_gone", delivered};
    }
    failure = to_dispatch_failure(outcome);
    log_broken_response(state_, call_, exchange, body.size());
    if (outcome != ReadOutcome::kBroken) {
      losses_.report_unfinished(call_, exchange);
      break;
    }
    record_broken_attempt(state_, call_, exchange);
    record_engine_failure(state_, exchange.engine(), "response truncated");
    if (!co_await losses_.report(call_, exchange) || !repeatable) break;
  }
  co_return co_await answer_failure(call_, failure);
}

void PlainCall::record_timing(EngineExchange& exchange) {
  if (!state_.settings.mechanisms.speeds || !is_success(exchange.head().result_int())) return;
  const auto now = net::Clock::now();
  const double milliseconds = net::milliseconds_between(exchange.started_at(), now);
  state_.exchange_times.record_plain_call(exchange.engine(), call_.route->name, milliseconds, now);
}

}  // namespace sailgate::serving
