#include "quota/admission.hpp"

#include <algorithm>

namespace sailgate::quota {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Share of the permitted overshoot that is added to the limit for programs in progress. The rest
/// is headroom for request rates that rise faster than the nodes' reports.
constexpr double kInProgressExcessShare = 0.5;
/// A control loop with a delay does not overshoot up to a gain of 1 / e. Nodes report rates up to
/// 50% too high, which reduces this value to an effective gain of 0.4.
constexpr double kControlGain = 0.6;
/// Lower bound on the retry delay, so that a refused caller is not judged by the same reports
/// again. The upper bound is one window.
constexpr net::Millis kMinRetryAfter{200};

/// Share of the permitted overshoot that programs in progress may use right after a loss of all
/// nodes. Together with what they used before the loss and with the effect of delayed reports, the
/// total stays within the permitted overshoot.
constexpr double kInProgressExcessShareAfterLoss = 0.25;

double seconds_of(net::Millis time) { return static_cast<double>(time.count()) / kMillisPerSecond; }

/// Requests that the limit allows in a span of the given length.
double allowed_requests(const Limit& limit, net::Millis span) {
  return limit.rate_per_s * seconds_of(span) + limit.burst;
}

double excess_of(const Limit& limit, const Bounds& bounds) {
  return allowed_requests(limit, bounds.window) * bounds.excess_share + bounds.excess_requests;
}

/// A time span ending now, with the requests admitted in it by all nodes.
struct Span {
  net::Millis length{0};
  double limit = 0;       ///< requests allowed by the tenant's limit
  double target = 0;      ///< maximum number of requests to admit
  double reported = 0;    ///< by nodes with current reports
  double silent = 0;      ///< by nodes that stopped reporting
  double expired = 0;     ///< part of `reported` that has left the span since the report
  double per_second = 0;  ///< rate at which capacity becomes free

  double allowed(const FleetUsage& usage) const {
    // The tighter of two bounds applies: the one of the whole cluster, and the share of this node's
    // side of a partition.
    return std::max(0.0, std::min(target - silent, target * usage.live_share));
  }
  /// Requests that may be admitted before the next reports arrive.
  double room(const FleetUsage& usage) const {
    return kControlGain * (allowed(usage) - reported) + expired;
  }
};

/// What nodes that have just started may have admitted before the restart: their share of the
/// maximum allowed in the part of the window before their start.
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
  // Assumes that the requests are spread evenly over the window. In addition, the amount that
  // restarted nodes must assume for the time before their start shrinks.
  const double counted = std::max(1.0, span.reported + span.silent);
  span.per_second = counted / seconds_of(bounds.window) + usage.restarted_share * limit.rate_per_s;
  return span;
}

/// The latest `buckets` buckets of the window.
Span recent_span(const Limit& limit, const Bounds& bounds, const FleetUsage& usage,
                 ProgramStage stage, std::size_t buckets) {
  Span span;
  span.length = bucket_length(bounds.window) * static_cast<std::int64_t>(buckets);
  span.limit = allowed_requests(limit, span.length);
  span.target = span.limit;
  if (stage == ProgramStage::kInProgress) span.target += allowance_above_limit(limit, bounds);
  span.reported = sum_latest_buckets(usage.reported_by_age, buckets);
  span.silent = sum_latest_buckets(usage.silent_by_age, buckets);
  span.expired = usage.expired_by_age[buckets - 1];
  span.per_second = limit.rate_per_s;
  return span;
}

net::Millis time_to_free(double requests, const Span& span, const Bounds& bounds) {
  const auto time =
      net::Millis(static_cast<std::int64_t>(kMillisPerSecond * requests / span.per_second));
  return std::clamp(time, kMinRetryAfter, std::max(bounds.window, kMinRetryAfter));
}

/// Share of the requests to admit, given the free capacity and the number of unreported requests
/// that may compete for it.
///
/// All nodes fill the capacity that was free when the reports were sent, so the cluster is a
/// control loop whose delay is the age of the reports. Requests that have left the span since then
/// are replaced in full, so that a tenant near its limit gets all of it. Only the remaining
/// capacity is filled with a gain: at a gain of 1 over the delay the loop would overshoot by half
/// of the requests received during the delay, separately on each side of a partition.
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
  for (std::size_t buckets = 1; buckets < kWindowBuckets; ++buckets) {
    const auto span = recent_span(limit, bounds, usage, stage, buckets);
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
