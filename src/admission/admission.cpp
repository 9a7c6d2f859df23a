#include "admission/admission.hpp"

#include "admission/load_bounds.hpp"

namespace sailgate::admission {

namespace {

/// A request is refused when the time left is below this fraction of the mean first-turn time. Turn
/// durations vary, but hardly any turn takes less than half of the mean.
constexpr double kMinShareOfMeanTime = 0.5;

bool misses_deadline(const ProgramRequest& request) {
  const auto needed = static_cast<double>(request.time_needed.count()) * kMinShareOfMeanTime;
  return static_cast<double>(request.time_left.count()) < needed;
}

/// Whether one more program would put the tenant above its fair share. Fills in the decision's
/// values for the log.
bool exceeds_fair_share(const ProgramStartsByTenant& starts, const ProgramRequest& request,
                        Decision& decision) {
  const auto entry = starts.find(request.tenant);
  decision.tenant_starts = entry == starts.end() ? 0 : entry->second;
  const std::size_t others = starts.size() - (entry == starts.end() ? 0 : 1);
  if (others == 0) return false;
  decision.level = fair_level(starts, allowed_starts(starts, decision.shortage));
  return decision.tenant_starts >= decision.level;
}

}  // namespace

const char* name_of(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kNoRoom:
      return "no_room";
    case Refusal::kRank:
      return "rank";
    case Refusal::kFairShare:
      return "fair_share";
    case Refusal::kTimeLeft:
      return "time_left";
  }
  return "none";
}

Decision decide(const ServiceLoad& service, const ProgramStartsByTenant& starts,
                const ProgramRequest& request) {
  Decision decision;
  decision.shortage = shortage(service.load, request.rank);
  if (request.program_started || decision.shortage <= 0) return decision;
  if (!may_start(service.load, 0)) {
    decision.refusal = Refusal::kNoRoom;
  } else if (!may_start(service.load, request.rank)) {
    decision.refusal = Refusal::kRank;
  } else if (exceeds_fair_share(starts, request, decision)) {
    decision.refusal = Refusal::kFairShare;
  } else if (misses_deadline(request)) {
    decision.refusal = Refusal::kTimeLeft;
  }
  return decision;
}

}  // namespace sailgate::admission
