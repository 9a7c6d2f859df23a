#include "serving/call_handler.hpp"

#include <algorithm>

#include "serving/plain_call.hpp"
#include "serving/refusal.hpp"
#include "serving/stream_call.hpp"

namespace sailgate::serving {

namespace {

using Kind = wire::ErrorKind;
namespace http = net::http;

std::string text(net::beast::string_view view) { return {view.data(), view.size()}; }

bool well_formed(const net::TextRequest& request) {
  return request.count(http::field::host) == 1 && !request.target().empty() &&
         request.target().front() == '/';
}

/// Other nodes serve the caller at once.
constexpr net::Millis kStoppingRetryAfter{50};

/// Whether a finished request was counted against its tenant's rate limit although no engine ran
/// it.
bool quota_refundable(const Call& call) {
  return call.admitted_at != net::TimePoint{} && !call.may_have_run;
}

}  // namespace

net::asio::awaitable<CallEnd> refuse(Call& call, wire::ErrorKind::type kind,
                                     net::Millis retry_after) {
  CallEnd end;
  end.outcome = base::error_answer(kind).name;
  end.connection_usable = co_await send_refusal(call.channel, kind, retry_after);
  co_return end;
}

net::asio::awaitable<CallEnd> answer_failure(Call& call, DispatchFailure failure) {
  switch (failure) {
    case DispatchFailure::kNoEngine:
      co_return co_await refuse(call, Kind::kNoFeasibleBackend, net::Millis(200));
    case DispatchFailure::kRefused:
      co_return co_await refuse(call, Kind::kBackendBusy);
    case DispatchFailure::kTimedOut:
      if (!call.may_have_run) co_return co_await refuse(call, Kind::kBackendBusy);
      co_return co_await refuse(call, Kind::kBackendTimeout);
    case DispatchFailure::kQuarantined:
      co_return co_await refuse(call, Kind::kRequestQuarantined);
    case DispatchFailure::kUnsettled:
      co_return co_await refuse(
          call, Kind::kNoFeasibleBackend,
          std::chrono::duration_cast<net::Millis>(call.settles_at - net::Clock::now()));
    case DispatchFailure::kCallerGone:
      co_return CallEnd{"caller_gone", false};
    case DispatchFailure::kOutcomeUnknown:
    case DispatchFailure::kNone:
      break;
  }
  co_return co_await refuse(call, Kind::kBackendFailed);
}

net::asio::awaitable<CallEnd> CallHandler::refuse_or_run(Call& call) {
  if (!well_formed(call.request)) co_return co_await refuse(call, Kind::kMalformedRequest);
  if (state_.routes == nullptr || !state_.engines_known || !state_.quarantines_known()) {
    co_return co_await refuse(call, Kind::kNotConfigured);
  }
  call.description = state_.protocol.describe(call.request);
  if (call.description.request_id.empty()) {
    co_return co_await refuse(call, Kind::kMalformedRequest);
  }
  call.routes = state_.routes;
  call.route =
      call.routes->find(text(call.request[http::field::host]), text(call.request.target()));
  if (call.route == nullptr) co_return co_await refuse(call, Kind::kUnknownResource);
  call.tenant = call.routes->tenants().find(call.description.credential);
  if (call.tenant == nullptr && call.routes->tenants().credentials_required() &&
      !call.route->allows_anonymous) {
    co_return co_await refuse(call, Kind::kUnauthorized);
  }
  constexpr double kDrawRange = 1 << 20U;
  const double draw = static_cast<double>(state_.random.below(1 << 20U)) / kDrawRange;
  call.service = routing::choose_service(*call.route, draw);
  if (LossReporter(state_).is_quarantined(call)) {
    co_return co_await refuse(call, Kind::kRequestQuarantined);
  }
  call.attempts.set_max_engines(call.route->max_engines);
  const auto timeout = call.description.deadline
                           ? std::min(*call.description.deadline, call.route->timeout)
                           : call.route->timeout;
  call.deadline = call.received_at + timeout;
  if (state_.shutdown.begun()) {
    if (!can_finish_before_exit(call)) {
      co_return co_await refuse(call, Kind::kStopping, kStoppingRetryAfter);
    }
    call.deadline = std::min(call.deadline, state_.shutdown.last_deadline());
  }
  if (const auto refused = co_await check_quota(call)) co_return *refused;
  co_return co_await run(call);
}

bool CallHandler::can_finish_before_exit(const Call& call) const {
  RequestTiming timing;
  timing.deadline = call.deadline;
  timing.expected = state_.route_durations.high_estimate(call.route->name);
  timing.streamed = call.route->kind == routing::RouteKind::kStream;
  return state_.shutdown.can_finish(timing, net::Clock::now());
}

net::asio::awaitable<void> CallHandler::decide_admission(Call& call,
                                                         cluster::QuotaRequest request) {
  auto now = net::Clock::now();
  call.admission = state_.quotas.admit(*call.tenant, request, now);
  const bool refused_within_limit = !call.admission.admitted && call.admission.within_limit;
  if (refused_within_limit && state_.quotas.awaits_peer_reports(now)) {
    // The request is within the limit as far as this node knows; it is refused only because reports
    // of other nodes are missing. Refusing it now would cost the caller one of its attempts, so
    // wait for the reports and decide again.
    const auto wait = state_.quotas.peer_report_retry_delay(now);
    if (wait < call.time_left()) {
      co_await net::sleep_for(state_.context, wait);
      request.is_retry = true;
      now = net::Clock::now();
      call.admission = state_.quotas.admit(*call.tenant, request, now);
    }
  }
  if (call.admission.admitted) call.admitted_at = now;
}

net::asio::awaitable<std::optional<CallEnd>> CallHandler::check_quota(Call& call) {
  if (call.tenant == nullptr) co_return std::nullopt;
  const auto& description = call.description;
  cluster::QuotaRequest request;
  request.program = call.key_of(description.program);
  // Tool calls take place between the turns of a program, so the program is already in progress.
  const bool is_tool_call =
      call.route->kind != routing::RouteKind::kStream && !description.program.empty();
  request.continues = is_tool_call || !description.previous_turn.empty();
  co_await decide_admission(call, request);
  const auto& admission = call.admission;
  state_.metrics.tenant_request(call.tenant->name, admission);
  if (admission.admitted) co_return std::nullopt;
  const auto& membership = state_.quotas.membership();
  state_.log.event("quota_refused")
      .with("id", description.request_id)
      .with("program", description.program)
      .with("tenant", call.tenant->name)
      .with("configuration", call.routes->version())
      .with("used", admission.used)
      .with("allowed", admission.allowed)
      .with("counted", admission.counted)
      .with("span_ms", admission.span.count())
      .with("inside", static_cast<int>(admission.within_limit))
      .with("continues", static_cast<int>(request.continues))
      .with("nodes", membership.known)
      .with("nodes_heard", membership.heard)
      .with("restarted", membership.restarted_share)
      .with("retry_after_ms", admission.retry_after.count());
  co_return co_await refuse(call, Kind::kTenantLimited, admission.retry_after);
}

net::asio::awaitable<CallEnd> CallHandler::run(Call& call) {
  call.channel.watch([&call] {
    if (call.exchange != nullptr) call.exchange->abort();
  });
  state_.calls_in_progress.insert(&call);
  CallEnd end;
  if (call.route->kind == routing::RouteKind::kStream) {
    StreamCall stream(state_, call);
    end = co_await stream.run();
  } else {
    PlainCall plain(state_, call);
    end = co_await plain.run();
  }
  call.channel.unwatch();
  co_return end;
}

void CallHandler::log_end(const Call& call, const CallEnd& end) {
  state_.metrics.request_ended(end.outcome, call.elapsed());
  state_.log.event("request")
      .with("id", call.description.request_id)
      .with("program", call.description.program)
      .with("tenant", call.tenant_name())
      .with("route", call.route == nullptr ? "" : call.route->name)
      .with("configuration", call.routes == nullptr ? 0 : call.routes->version())
      .with("outcome", end.outcome)
      .with("may_have_run", static_cast<int>(call.may_have_run))
      .with("time_given_ms", call.time_given().count())
      .with("home", call.home)
      .with("finish_ms", call.description.finish.value_or(net::Millis(0)).count())
      .with("token_budget", call.description.token_budget.value_or(0))
      .with("tokens_out", call.tokens_out)
      .with("offers", call.offered.size())
      .with("engine", call.offered.empty() ? "" : call.offered.back())
      .with("broken", call.broken_exchanges)
      .with("fingerprint", call.fingerprint)
      .with("quota_counted", call.admission.counted)
      .with("quota_allowed", call.admission.allowed)
      .with("quota_taken_back", static_cast<int>(quota_refundable(call)))
      .with("elapsed_ms", call.elapsed().count());
}

net::asio::awaitable<bool> CallHandler::handle(ClientChannel& channel, net::TextRequest request,
                                               net::TimePoint received_at) {
  Call call(channel, std::move(request));
  call.received_at = received_at;
  ++state_.active_requests;
  CallEnd end;
  try {
    end = co_await refuse_or_run(call);
  } catch (const std::exception& error) {
    state_.log.event("internal_error")
        .with("id", call.description.request_id)
        .with("why", error.what());
    end = {"internal", false};
    channel.unwatch();
  }
  --state_.active_requests;
  state_.calls_in_progress.erase(&call);
  const bool answered = std::string_view(end.outcome) == "answered";
  if (answered) state_.route_durations.observe(call.route->name, call.elapsed());
  if (quota_refundable(call)) state_.quotas.refund(*call.tenant, call.admitted_at);
  log_end(call, end);
  co_return end.connection_usable&& channel.keep_alive();
}

}  // namespace sailgate::serving
