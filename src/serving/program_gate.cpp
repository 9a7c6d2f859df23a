#include "serving/program_gate.hpp"

#include "admission/load_bounds.hpp"
#include "balancing/engine_selector.hpp"

namespace sailgate::serving {

namespace {

/// Retry delay if retries are not scheduled: a multiple of the typical age of the load reports,
/// plus random jitter of up to kRetryJitterPercent.
constexpr net::Millis kOverloadRetryDelay{800};
constexpr std::uint64_t kRetryJitterPercent = 50;

admission::ProgramRequest request_of(const NodeState& state, const Call& call, bool begins) {
  admission::ProgramRequest request;
  request.program_started = !begins;
  request.rank = call.priority();
  request.tenant = cluster::tenant_key(call.tenant_name());
  request.time_left = call.time_left();
  request.time_needed = state.admission.first_turn_time(call.service);
  return request;
}

/// Fallback if the fairness mechanism is disabled: one load bound per rank, without fair shares per
/// tenant and without scheduled retries.
std::optional<net::Millis> check_load_bound(NodeState& state, const Call& call) {
  const auto load = balancing::mean_load(state.engines.of_service(call.service));
  if (admission::may_start(load, call.priority())) return std::nullopt;
  const auto wait = kOverloadRetryDelay * (100 + state.random.below(kRetryJitterPercent)) / 100;
  state.log.event("refused_for_load")
      .with("id", call.description.request_id)
      .with("program", call.description.program)
      .with("load", load)
      .with("rank", call.priority())
      .with("retry_after_ms", wait.count());
  return wait;
}

}  // namespace

std::optional<net::Millis> check_program_admission(NodeState& state, const Call& call,
                                                   bool begins) {
  if (!state.settings.mechanisms.overload) return std::nullopt;
  if (!state.settings.mechanisms.fairness) {
    return begins ? check_load_bound(state, call) : std::nullopt;
  }
  const auto now = net::Clock::now();
  const auto& engines = state.engines.of_service(call.service);
  const auto service = admission::measure_load(engines, now, state.admission.age(now));
  const auto request = request_of(state, call, begins);
  const auto decision = state.admission.admit(service, request, now);
  if (begins) state.metrics.program_decided(decision.refusal, request.rank);
  if (decision.admitted()) return std::nullopt;
  const auto wait = state.admission.retry_delay(call.service, request, now);
  state.log.event("refused_for_load")
      .with("id", call.description.request_id)
      .with("program", call.description.program)
      .with("reason", admission::name_of(decision.refusal))
      .with("load", service.load)
      .with("unheard", decision.unreported_starts)
      .with("slots", service.slots)
      .with("lost_slots", service.lost_slots)
      .with("heard_ms", service.age.count())
      .with("rank", request.rank)
      .with("tenant", call.tenant_name())
      .with("tenant_begun", decision.tenant_starts)
      .with("fair_share", decision.level)
      .with("time_left_ms", request.time_left.count())
      .with("retry_after_ms", wait.count());
  return wait;
}

}  // namespace sailgate::serving
