/// @file Whether a tenant's request may go on to an engine, by what this node knows of all nodes.
///
/// Answers the load of a tenant that sends more than its limit, through any number of nodes of
/// which each sees a few requests a second. A decision without I/O or clock; chance is an input.
#pragma once

#include "quota/limit.hpp"
#include "quota/window_parts.hpp"

namespace sailgate::quota {

/// What one node knows of a tenant's requests, its own and those of the other nodes.
struct FleetUsage {
  double own = 0;         ///< requests that this node let through within the window
  double others = 0;      ///< by nodes that are heard of, as they told last
  double silent = 0;      ///< by nodes that fell silent, as far as they still lie within the window
  double unreported = 0;  ///< most that the others let through since: all that is asked of them
  double expired = 0;     ///< of `others`, what has left the window since
  BucketCounts reported_by_age{};  ///< `own` and `others`
  BucketCounts silent_by_age{};    ///< `silent`
  BucketCounts expired_by_age{};   ///< of each part of `others`, what has grown older since
  double restarted_share = 0;      ///< share of nodes that started within the window
  double unknown_history = 0;  ///< share of nodes that started within the window, each by the part
                               ///< of the window before its start of which nobody told
  double live_share = 1;  ///< share of the known nodes that are heard of, this one among them; 0:
                          ///< the nodes are not known yet
};

/// Requests above the limit that programs under way may use: nodes need not agree to the last one.
double allowance_above_limit(const Limit& limit, const Bounds& bounds);

/// What a request is to its program.
enum class ProgramStage {
  kNew,         ///< it may be the program's first: nothing is lost yet when it is refused
  kInProgress,  ///< the program has cost work, which is lost when it is refused
};

/// The decision with what it was made from, for the log.
struct Admission {
  bool admitted = false;
  double used = 0;             ///< requests that count against the tightest bound
  double counted = 0;          ///< of these, those that nodes told of
  bool within_limit = false;   ///< with this request the counted ones are within the limit
  double allowed = 0;          ///< the tightest bound on them for this request
  net::Millis span{0};         ///< that the tightest bound is for
  net::Millis retry_after{0};  ///< when there may be room; 0 when admitted
};

/// The target lies between the limit and what may be exceeded at most: all requests within_limit
/// the limit are let through, and what is left absorbs what the news of other nodes is late by.
///
/// - Nodes that are cut off from each other share the target by their number, so that any groups of
///   them together stay below it.
/// - In any span shorter than the window the burst and the rate of that span are let through, so
///   that a restarted fleet knows how much may still lie in the window.
/// - Nodes that have just started have forgotten what they let through before. They take it for
///   their share of the most that the span before their start allows: after a loss of all nodes a
///   tenant begins with its rate, and has its burst again when the window has passed.
/// - Programs that have not begun are let through up to the limit itself, those under way up to the
///   target: a program that is refused midway has cost its work, and its caller gets nothing.
/// - Where more is asked than there is room for until the next news, each node lets the share that
///   fits through, by chance: together they take the room and no more. With all or nothing, callers
///   that come back at once after a loss of all nodes keep each other out.
///
/// @param draw uniform in [0, 1).
Admission decide(const Limit& limit, const Bounds& bounds, const FleetUsage& usage,
                 ProgramStage stage, double draw);

}  // namespace sailgate::quota
