#include "serving/silent_runs.hpp"

#include <algorithm>

#include "serving/loss_reporter.hpp"

namespace sailgate::serving {

namespace {

/// Nearly all engines send something within this time.
constexpr net::Millis kMinSilence{300};
/// Bounds the messages where many engines fall silent at once.
constexpr int kMaxReports = 16;

}  // namespace

net::Millis SilentRuns::usual_silence(const Call& call) const {
  const bool streams = call.route->kind == routing::RouteKind::kStream;
  const auto usual =
      streams ? state_.first_event_times.upper_estimate(RouteDurations::kDeviations)
              : state_.route_durations.high_estimate(call.route->name).value_or(net::Millis(0));
  return std::max(kMinSilence, usual);
}

bool SilentRuns::is_silent(const Call& call, net::TimePoint now) const {
  const auto* exchange = call.exchange;
  if (exchange == nullptr || !exchange->was_sent()) return false;
  const auto silent_from = std::max(exchange->engine().heard_at, exchange->started_at());
  return now - silent_from >= usual_silence(call);
}

void SilentRuns::maintain(net::TimePoint now) {
  int reports = 0;
  for (auto* call : state_.calls_in_progress) {
    if (reports == kMaxReports) return;
    if (!is_silent(*call, now)) continue;
    if (LossReporter(state_).report_silent(*call, *call->exchange)) ++reports;
  }
}

}  // namespace sailgate::serving
