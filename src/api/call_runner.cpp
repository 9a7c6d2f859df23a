#include "api/call_runner.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <thread>

namespace sailgate::api {
namespace {

/// Longest one decision is waited for before it is asked for again.
constexpr base::Millis kRequestTimeout = 2000;
constexpr double kMillisPerSecond = 1000.0;

std::int64_t new_nonce() {
  thread_local std::mt19937_64 engine{std::random_device{}()};
  return static_cast<std::int64_t>(engine() >> 2U);
}

const char* name_of(DispatchResult::Kind kind) {
  switch (kind) {
    case DispatchResult::Kind::kSucceeded:
      return "succeeded";
    case DispatchResult::Kind::kFailed:
      return "failed";
    case DispatchResult::Kind::kUnsent:
      return "unsent";
    case DispatchResult::Kind::kRefused:
      return "refused";
    case DispatchResult::Kind::kLost:
      return "lost";
  }
  return "lost";
}

/// Keeps an attempt known as running for as long as its call is being served.
class RunningAttempt {
 public:
  RunningAttempt(node::NodeRuntime& node, const wire::Grant& grant)
      : node_(node), attempt_(grant.attempt), backend_(grant.backend) {
    node_.attempt_started(attempt_, backend_);
  }
  RunningAttempt(const RunningAttempt&) = delete;
  RunningAttempt& operator=(const RunningAttempt&) = delete;
  ~RunningAttempt() { node_.attempt_ended(attempt_, backend_); }

 private:
  node::NodeRuntime& node_;
  std::int64_t attempt_;
  std::string backend_;
};

}  // namespace

wire::ProgramReply CallRunner::run(wire::AdmitCall admit, bool first_send, base::Millis patience,
                                   const backend::BackendClient::PieceHandler& on_piece) {
  const auto started = node::monotonic_now();
  const auto give_up_at = started + patience;
  base::Millis backend_time = 0;
  auto granted_at = started;
  admit.gateway = node_.process_id();
  admit.gateway_address = node_.address();
  admit.nonce = new_nonce();
  CallFlow flow(rules_, admit, give_up_at, first_send);
  std::optional<RunningAttempt> running;
  auto step = flow.start();
  while (step.kind != FlowStep::Kind::kAnswer) {
    if (step.wait > 0) std::this_thread::sleep_for(std::chrono::milliseconds(step.wait));
    const auto now = node::monotonic_now();
    if (step.kind == FlowStep::Kind::kDispatch) {
      running.emplace(node_, step.grant);
      const auto result = dispatch(admit, step.grant, granted_at, give_up_at, on_piece);
      backend_time += node::monotonic_now() - now;
      step = flow.on_dispatched(result);
    } else {
      const auto left = std::max<base::Millis>(give_up_at - now, 1);
      const auto reply = node_.execute(step.request, std::min(left, kRequestTimeout));
      granted_at = node::monotonic_now();
      step = flow.on_reply(reply, granted_at);
    }
  }
  const auto total = node::monotonic_now() - started;
  statistics_.observe_overhead(static_cast<double>(total - backend_time) / kMillisPerSecond);
  return step.answer;
}

DispatchResult CallRunner::dispatch(const wire::AdmitCall& admit, const wire::Grant& grant,
                                    base::Millis granted_at, base::Millis give_up_at,
                                    const backend::BackendClient::PieceHandler& on_piece) {
  backend::AttemptOrder order;
  order.program = admit.call.program;
  order.sequence = admit.call.sequence;
  order.request_key = admit.call.request_key;
  order.target_kind = admit.call.target_kind;
  order.target = admit.call.target;
  order.request_body = admit.call.request_body;
  order.grant = grant;
  const auto begun = node::monotonic_now();
  const auto left = std::min(grant.deadline_in_ms, give_up_at - begun);
  const bool fresh = grant_is_fresh(begun - granted_at, node_.backend_is_leaving(grant.backend));
  DispatchResult result;
  result.kind = DispatchResult::Kind::kUnsent;
  if (left > 0 && fresh) result = backends_.run(order, std::chrono::milliseconds(left), on_piece);
  if (result.result.size() > program::kMaxTextBytes) {
    // It ran, but its answer cannot be kept.
    result.kind = DispatchResult::Kind::kFailed;
    result.result.clear();
  }
  statistics_.count_dispatch(name_of(result.kind));
  log_.event("attempt", [&](auto& line) {
    line.with("program", admit.call.program).with("key", admit.call.request_key);
    line.with("attempt", grant.attempt).with("backend", grant.backend);
    line.with("result", name_of(result.kind)).with("elapsed_ms", node::monotonic_now() - begun);
  });
  if (result.backend_leaving) node_.report_leaving(grant.backend);
  const bool foreign = result.answered_attempt != 0 && result.answered_attempt != grant.attempt;
  if (foreign) statistics_.count_foreign_answer();
  return result;
}

}  // namespace sailgate::api
