/// @file Whether a program may begin, by what its service can take and who began of late.
///
/// Answers load beyond what the engines of a service can take: for seconds, from one tenant or from
/// all, often just after capacity was lost. A decision without I/O or clock.
#pragma once

#include "admission/fair_share.hpp"
#include "admission/service_load.hpp"

namespace sailgate::admission {

/// A request that may be the first of its program.
struct ProgramRequest {
  bool program_started = false;  ///< the program has begun: its work would be lost
  int rank = 0;                  ///< 0 is the most urgent
  std::int32_t tenant = 0;       ///< cluster::tenant_key()
  net::Millis time_left{0};      ///< until the caller gives up
  net::Millis time_needed{0};    ///< what first turns took of late; 0: not known
};

/// Why a request was refused, in the order in which reasons count.
enum class Refusal {
  kNone,       ///< it is admitted
  kNoRoom,     ///< no program may begin
  kRank,       ///< only more urgent ones may
  kFairShare,  ///< tenants with less than this one go first
  kTimeLeft,   ///< it would not be answered in time
};

/// Stable name, for logs and metrics.
const char* name_of(Refusal refusal);

/// The decision with what it was made from, for the log.
struct Decision {
  Refusal refusal = Refusal::kNone;
  double shortage = 0;    ///< 0: room for everybody of the rank, 1: for nobody
  int tenant_starts = 0;  ///< of the tenant, of late
  double level = 0;       ///< fair share of each tenant in that time; 0 where it was not needed
  double unreported_starts =
      0;  ///< programs that others are taken to have begun since they were heard of

  bool admitted() const { return refusal == Refusal::kNone; }
};

/// - Programs under way are never refused for load.
/// - While there is room every program begins: nothing is held back for anybody.
/// - With less room, less urgent ranks are refused at less load.
/// - Within a rank, a tenant that had its fair share is refused before those that did not. One
///   group of callers alone, as where there are no tenants, has nobody to share with.
/// - Who cannot be answered in the time left is refused at once rather than at its deadline.
Decision decide(const ServiceLoad& service, const ProgramStartsByTenant& starts,
                const ProgramRequest& request);

}  // namespace sailgate::admission
