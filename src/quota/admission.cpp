#include "quota/admission.hpp"

#include <algorithm>

namespace sailgate::quota {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Share of what the limit may be exceeded by that the target lies above the limit. The rest stands
/// for callers whose rate rises faster than nodes can tell.
constexpr double kInProgressExcessShare = 0.5;
/// A control loop with a delay does not overshoot up to a gain of 1 / e. Nodes tell rates up to
/// half too high, which makes 0.4 of this.
constexpr double kControlGain = 0.6;
/// Bounds on the time to come back: a refused caller does not come back into the same news, nor
/// later than the whole window has passed.
constexpr net::Millis kMinRetryAfter{200};

/// Share of the excess that programs under way may use right after a loss of all nodes. Together
/// with what they used of it before, and with what news is late by, it stays within the excess.
constexpr double kInProgressExcessShareAfterLoss = 0.25;

double seconds_of(net::Millis time) { return static_cast<double>(time.count()) / kMillisPerSecond; }

/// Requests that the limit allows in a span of this length.
double allowed_requests(const Limit& limit, net::Millis span) {
  return limit.rate_per_s * seconds_of(span) + limit.burst;
}

double excess_of(const Limit& limit, const Bounds& bounds) {
  return allowed_requests(limit, bounds.window) * bounds.excess_share + bounds.excess_requests;
}

/// A span that ends now, and what all nodes together let through in it.
struct Span {
  net::Millis length{0};
  double limit = 0;       ///< requests that the tenant's limit allows
  double target = 0;      ///< most requests
  double reported = 0;    ///< by nodes that are heard of
  double silent = 0;      ///< by nodes that are not
  double expired = 0;     ///< of `told`, what has left the span since it was told
  double per_second = 0;  ///< at which room comes

  double allowed(const FleetUsage& usage) const {
    // Of the two bounds the tighter one decides: the whole fleet's, and the share of this node's
    // side.
    return std::max(0.0, std::min(target - silent, target * usage.live_share));
  }
  /// Requests that may be let through until the next news.
  double room(const FleetUsage& usage) const {
    return kControlGain * (allowed(usage) - reported) + expired;
  }
};

/// What nodes that have just started may have let through before: their share of the most that was
/// allowed in the part of the window before their start.
double unknown_history_requests(const Limit& limit, const Bounds& bounds, const FleetUsage& usage) {
  const double burst_share =
      limit.burst +
      (kInProgressExcessShare - kInProgressExcessShareAfterLoss) * excess_of(limit, bounds);
  const double rate_share = limit.rate_per_s * seconds_of(bounds.window);
  return usage.restarted_share * burst_share + usage.unknown_history * rate_share;
}

Span whole_window(const Limit& limit, const Bounds& bounds, const FleetUsage& usage,
                  ProgramStage stage) {
  Span span;
  span.length = bounds.window;
  span.limit = allowed_requests(limit, bounds.window);
  span.target = span.limit - unknown_history_requests(limit, bounds, usage);
  if (stage == ProgramStage::kInProgress) span.target += allowance_above_limit(limit, bounds);
  span.reported = usage.own + usage.others;
  span.silent = usage.silent;
  span.expired = usage.expired;
  // The window's requests leave it, if they are spread evenly; and restarted nodes need to allow
  // for less and less from before.
  const double counted = std::max(1.0, span.reported + span.silent);
  span.per_second = counted / seconds_of(bounds.window) + usage.restarted_share * limit.rate_per_s;
  return span;
}

/// The sum_latest_buckets `parts` parts of the window.
Span recent_span(const Limit& limit, const Bounds& bounds, const FleetUsage& usage,
                 ProgramStage stage, std::size_t parts) {
  Span span;
  span.length = bucket_length(bounds.window) * static_cast<std::int64_t>(parts);
  span.limit = allowed_requests(limit, span.length);
  span.target = span.limit;
  if (stage == ProgramStage::kInProgress) span.target += allowance_above_limit(limit, bounds);
  span.reported = sum_latest_buckets(usage.reported_by_age, parts);
  span.silent = sum_latest_buckets(usage.silent_by_age, parts);
  span.expired = usage.expired_by_age[parts - 1];
  span.per_second = limit.rate_per_s;
  return span;
}

net::Millis time_to_free(double requests, const Span& span, const Bounds& bounds) {
  const auto time =
      net::Millis(static_cast<std::int64_t>(kMillisPerSecond * requests / span.per_second));
  return std::clamp(time, kMinRetryAfter, std::max(bounds.window, kMinRetryAfter));
}

/// Share of the requests that may be let through, when there is this room and so many others
/// compete for it without being seen.
///
/// All nodes fill the room that they saw a news' age ago, so that the whole fleet is a control loop
/// with that delay. What has left the span since is replaced at once, so that a tenant near its
/// limit gets all of it. Only the rest of the room is filled with a gain: at 1 over the delay the
/// loop overshoots by half of what is asked in it, on each side of a cut for itself.
double admitted_share(double room, const FleetUsage& usage) {
  if (room <= 0) return 0;
  return std::min(1.0, room / (usage.unreported + kControlGain));
}

}  // namespace

double allowance_above_limit(const Limit& limit, const Bounds& bounds) {
  return kInProgressExcessShare * excess_of(limit, bounds);
}

Admission decide(const Limit& limit, const Bounds& bounds, const FleetUsage& usage,
                 ProgramStage stage, double draw) {
  Admission admission;
  admission.admitted = true;
  if (!limit.limited()) return admission;
  auto tightest = whole_window(limit, bounds, usage, stage);
  admission.within_limit = tightest.reported + tightest.silent + 1 <= tightest.limit;
  for (std::size_t parts = 1; parts < kWindowBuckets; ++parts) {
    const auto span = recent_span(limit, bounds, usage, stage, parts);
    admission.within_limit =
        admission.within_limit && span.reported + span.silent + 1 <= span.limit;
    if (span.room(usage) < tightest.room(usage)) tightest = span;
  }
  admission.span = tightest.length;
  admission.used = tightest.reported + usage.unreported;
  admission.counted = tightest.reported + tightest.silent;
  admission.allowed = tightest.allowed(usage);
  admission.admitted = draw < admitted_share(tightest.room(usage), usage);
  if (!admission.admitted) {
    const double excess = std::max(1.0, admission.used + 1 - admission.allowed);
    admission.retry_after = time_to_free(excess, tightest, bounds);
  }
  return admission;
}

}  // namespace sailgate::quota
