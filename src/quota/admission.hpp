/// @file Admission decision of the distributed rate limiter for one request of a tenant.
///
/// The limit is global, and each node may see only a few of the tenant's requests per second. The
/// decision is a pure function of this node's view of the cluster: no I/O, no clock, and the random
/// draw is an input.
#pragma once

#include "quota/limit.hpp"
#include "quota/window_parts.hpp"

namespace sailgate::quota {

/// One node's view of a tenant's admitted requests in the whole cluster.
struct FleetUsage {
  double own = 0;         ///< requests that this node admitted within the window
  double others = 0;      ///< as last reported by nodes with current reports
  double silent = 0;      ///< by nodes that stopped reporting; only what is still in the window
  double unreported = 0;  ///< upper bound on what the others admitted since: all they receive
  double expired = 0;     ///< part of `others` that has left the window since the report
  BucketCounts reported_by_age{};  ///< `own` and `others`
  BucketCounts silent_by_age{};    ///< `silent`
  BucketCounts expired_by_age{};   ///< per bucket of `others`, what has aged out of it since
  double restarted_share = 0;      ///< share of the nodes that started within the window
  /// Same share, each node weighted by the part of the window before its start that no report
  /// covers.
  double unknown_history = 0;
  /// Share of the known nodes with current reports, including this one; 0 while the set of nodes is
  /// not yet known.
  double live_share = 1;
};

/// Requests above the limit that programs in progress may use. The overshoot is allowed because the
/// nodes' counts are not exactly consistent.
double allowance_above_limit(const Limit& limit, const Bounds& bounds);

/// Position of a request within its program.
enum class ProgramStage {
  kNew,         ///< possibly the program's first request: refusing it wastes no work
  kInProgress,  ///< refusing it wastes the work already spent on the program
};

/// The decision and the figures behind it, for the log.
struct Admission {
  bool admitted = false;
  double used = 0;             ///< requests counted against the tightest bound
  double counted = 0;          ///< of these, the reported ones
  bool within_limit = false;   ///< whether the counted requests plus this one are within the limit
  double allowed = 0;          ///< value of the tightest bound
  net::Millis span{0};         ///< time span of the tightest bound
  net::Millis retry_after{0};  ///< time until capacity may be available; 0 if admitted
};

/// The target lies between the limit and the permitted maximum: all requests within the limit are
/// admitted, and the remaining headroom absorbs the delay of the other nodes' reports.
///
/// - During a network partition each side gets a share of the target in proportion to its number of
///   nodes, so that all sides together stay below the target.
/// - Every span shorter than the window is limited as well, to the burst plus the rate over that
///   span. This bounds what a restarted cluster may already have admitted in the current window.
/// - A node that has just started has lost its counts. It assumes its share of the maximum that the
///   span before its start allowed: after a loss of all nodes a tenant starts at its rate and
///   regains its burst once a window has passed.
/// - New programs are admitted up to the limit, programs in progress up to the target: refusing a
///   program midway wastes the work already done, and its caller gets no result.
/// - If demand exceeds the capacity left until the next reports, each node admits the fitting share
///   of requests at random, so that together the nodes use that capacity and no more. With an
///   all-or-nothing decision, callers that all retry at once after a loss of all nodes would keep
///   each other out.
///
/// @param draw uniformly distributed in [0, 1).
Admission decide(const Limit& limit, const Bounds& bounds, const FleetUsage& usage,
                 ProgramStage stage, double draw);

}  // namespace sailgate::quota
