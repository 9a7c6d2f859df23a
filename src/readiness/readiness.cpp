#include "readiness/readiness.hpp"

namespace sailgate::readiness {

namespace {

/// Other zones are heard several times a second; callers of a zone that is cut off lose what this
/// adds to the second or two in which their entry notices.
constexpr net::Millis kPartitionSilence{700};
/// One call may fail by itself; silence of the other zones is a second sign, so two are enough.
constexpr int kPartitionMinFailures = 2;
/// A cut ends answers and news at the same time. The last answer may be older than the cut by the
/// time that an idle feed waits, 2.5 s; news that ended long before it is of zones that are gone.
constexpr net::Millis kPartitionMaxSkew{3000};
/// Nodes elsewhere that have lost the store as well have said so by then: three calls fail within
/// half a second and their news takes up to a second. A store that is slow for all answers some
/// call within this time.
constexpr net::Millis kStoreLossTimeout{1500};
/// With fewer failures in a row single lost answers could be all.
constexpr int kStoreLossMinFailures = 4;

bool is_majority(int part, int whole) { return part * 2 > whole; }

/// A fleet that has just begun hears other zones seldom, and a store that is slow or loses answers
/// fails some calls in a row: that is no cut while the store answered a moment ago. Without this 23
/// times a node of 84 stepped aside in the four seconds between a restart of half of them, beside a
/// slow store, and the cut of a zone (counted in their logs, one run).
bool store_answered_recently(const ReadinessView& view) {
  return view.store_unanswered < kPartitionSilence;
}

bool is_cut_off(const ReadinessView& view) {
  const auto& others = elsewhere(view);
  if (others.known == 0 || view.store_failures < kPartitionMinFailures) return false;
  if (others.last_heard_age < kPartitionSilence) return false;
  if (others.last_heard_age - kPartitionMaxSkew > view.store_unanswered) return false;
  return !store_answered_recently(view);
}

bool is_store_lost_here(const ReadinessView& view) {
  const auto& others = elsewhere(view);
  if (view.store_failures < kStoreLossMinFailures) return false;
  if (view.store_unanswered < kStoreLossTimeout) return false;
  return others.heard > 0 && is_majority(others.reach_store, others.heard);
}

bool is_zone_stepping_aside(const ReadinessView& view) {
  const auto& zone = view.own_zone;
  return zone.heard > 0 && is_majority(zone.step_aside, zone.heard) &&
         !is_majority(zone.reach_store, zone.heard);
}

Reason reason_of(const ReadinessView& view) {
  if (view.store_failures == 0) return Reason::kStoreAnswers;
  if (is_cut_off(view)) return Reason::kCutOff;
  if (is_store_lost_here(view)) return Reason::kStoreLostHere;
  if (is_zone_stepping_aside(view)) return Reason::kZoneStepsAside;
  return Reason::kStoreAwayForAll;
}

}  // namespace

const PeerGroupView& elsewhere(const ReadinessView& view) {
  return view.other_zones.known > 0 ? view.other_zones : view.own_zone;
}

Readiness decide(const ReadinessView& view) {
  Readiness readiness;
  readiness.reason = reason_of(view);
  readiness.serve =
      readiness.reason == Reason::kStoreAnswers || readiness.reason == Reason::kStoreAwayForAll;
  const auto& zone = view.own_zone;
  readiness.whole_zone = zone.heard > 0 && !is_majority(zone.reach_store, zone.heard);
  return readiness;
}

const char* name_of(Reason reason) {
  switch (reason) {
    case Reason::kStoreAnswers:
      return "store_answers";
    case Reason::kStoreAwayForAll:
      return "store_away_for_all";
    case Reason::kCutOff:
      return "cut_off";
    case Reason::kStoreLostHere:
      return "store_lost_here";
    case Reason::kZoneStepsAside:
      return "zone_steps_aside";
  }
  return "unknown";
}

}  // namespace sailgate::readiness
