/// @file Admission control: decides whether a new program may start on an overloaded service.
///
/// Handles load above the capacity of a service's engines: bursts of a few seconds, from one tenant
/// or from all, often right after capacity was lost. The decision uses no I/O and no clock.
#pragma once

#include "admission/fair_share.hpp"
#include "admission/service_load.hpp"

namespace sailgate::admission {

/// A request that may be the first one of its program.
struct ProgramRequest {
  bool program_started = false;  ///< the program is running: refusing would waste its earlier work
  int rank = 0;                  ///< priority; 0 is the most urgent
  std::int32_t tenant = 0;       ///< cluster::tenant_key()
  net::Millis time_left{0};      ///< until the caller's deadline
  net::Millis time_needed{0};    ///< recent mean duration of a first turn; 0: unknown
};

/// Why a request was refused. The first reason that applies, in this order, is reported.
enum class Refusal {
  kNone,       ///< admitted
  kNoRoom,     ///< the service is too loaded for programs of any rank
  kRank,       ///< the service is too loaded for programs of this rank
  kFairShare,  ///< the tenant has used its fair share
  kTimeLeft,   ///< the answer would miss the caller's deadline
};

/// Stable name, for logs and metrics.
const char* name_of(Refusal refusal);

/// The decision and the values it was based on, for the log.
struct Decision {
  Refusal refusal = Refusal::kNone;
  double shortage = 0;    ///< 0: room for all programs of the rank, 1: for none; see shortage()
  int tenant_starts = 0;  ///< programs of the tenant that started within the fair-share window
  double level = 0;       ///< fair share per tenant in that window; 0 if it was not computed
  double unreported_starts = 0;  ///< estimated starts on other nodes since their last reports

  bool admitted() const { return refusal == Refusal::kNone; }
};

/// - Requests of running programs are never refused because of load.
/// - While there is room every program is admitted; no capacity is reserved for anybody.
/// - Less urgent ranks are refused at a lower load than more urgent ones.
/// - Within a rank, tenants that have reached their fair share are refused before the others. A
///   single tenant, or callers without tenants, have nobody to share with and are not limited.
/// - Requests that cannot be answered before their deadline are refused at once.
Decision decide(const ServiceLoad& service, const ProgramStartsByTenant& starts,
                const ProgramRequest& request);

}  // namespace sailgate::admission
