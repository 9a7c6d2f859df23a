#include "gateway/call_runner.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace sailgate::gateway {
namespace {

/// Longest one request to the leader is waited for before it is asked again.
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

}  // namespace

wire::ProgramReply CallRunner::run(wire::AdmitCall admit, bool first_send, base::Millis patience,
                                   const backend::BackendClient::PieceHandler& on_piece) {
  const auto started = node::NodeRuntime::now();
  const auto give_up_at = started + patience;
  base::Millis backend_time = 0;
  auto granted_at = started;
  admit.gateway = node_.member_id();
  admit.nonce = new_nonce();
  const auto program = admit.call.program;
  CallFlow flow(rules_, admit, give_up_at, first_send);
  auto step = flow.start();
  while (step.kind != FlowStep::Kind::kAnswer) {
    if (step.wait > 0) std::this_thread::sleep_for(std::chrono::milliseconds(step.wait));
    const auto now = node::NodeRuntime::now();
    if (step.kind == FlowStep::Kind::kDispatch) {
      const auto result = dispatch(admit, step.grant, granted_at, give_up_at, on_piece);
      backend_time += node::NodeRuntime::now() - now;
      step = flow.on_dispatched(result);
    } else {
      const auto left = std::max<base::Millis>(give_up_at - now, 1);
      const auto reply = node_.route(program, step.request, std::min(left, kRequestTimeout));
      granted_at = node::NodeRuntime::now();
      step = flow.on_reply(reply, granted_at);
    }
  }
  const auto total = node::NodeRuntime::now() - started;
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
  const auto left = std::min(grant.deadline_in_ms, give_up_at - node::NodeRuntime::now());
  const bool fresh = grant_is_fresh(node::NodeRuntime::now() - granted_at,
                                    node_.backend_is_leaving(grant.backend));
  if (left <= 0 || !fresh) {
    DispatchResult unsent;
    unsent.kind = DispatchResult::Kind::kUnsent;
    return unsent;
  }
  auto result = backends_.run(order, std::chrono::milliseconds(left), on_piece);
  statistics_.count_dispatch(name_of(result.kind));
  if (result.backend_leaving) node_.report_leaving(grant.backend);
  const bool foreign = result.answered_attempt != 0 && result.answered_attempt != grant.attempt;
  if (foreign) statistics_.count_foreign_answer();
  return result;
}

}  // namespace sailgate::gateway
