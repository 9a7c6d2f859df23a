#include "admission/admission.hpp"

#include "admission/load_bounds.hpp"

namespace sailgate::admission {

namespace {

/// A request is not tried with less than this share of the mean time of first turns left: turns
/// differ in length, and hardly one of them takes less than half of the mean.
constexpr double kLeastShareOfMeanTime = 0.5;

bool ends_too_late(const ProgramRequest& request) {
  const auto needed = static_cast<double>(request.time_needed.count()) * kLeastShareOfMeanTime;
  return static_cast<double>(request.time_left.count()) < needed;
}

/// A program of this tenant would be one above the level.
bool above_share(const BegunByTenant& begun, const ProgramRequest& request, Decision& decision) {
  const auto own = begun.find(request.tenant);
  decision.begun = own == begun.end() ? 0 : own->second;
  const std::size_t others = begun.size() - (own == begun.end() ? 0 : 1);
  if (others == 0) return false;
  decision.level = fair_level(begun, room_at(begun, decision.shortage));
  return decision.begun >= decision.level;
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

Decision decide(const ServiceLoad& service, const BegunByTenant& begun,
                const ProgramRequest& request) {
  Decision decision;
  decision.shortage = shortage(service.load, request.rank);
  if (request.under_way || decision.shortage <= 0) return decision;
  if (!may_begin(service.load, 0)) {
    decision.refusal = Refusal::kNoRoom;
  } else if (!may_begin(service.load, request.rank)) {
    decision.refusal = Refusal::kRank;
  } else if (above_share(begun, request, decision)) {
    decision.refusal = Refusal::kFairShare;
  } else if (ends_too_late(request)) {
    decision.refusal = Refusal::kTimeLeft;
  }
  return decision;
}

}  // namespace sailgate::admission
