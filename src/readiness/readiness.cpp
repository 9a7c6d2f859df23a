#include "readiness/readiness.hpp"

namespace sailgate::readiness {

namespace {

/// Other zones are heard several times a second; callers of a zone that is cut off lose what this
/// adds to the second or two in which their entry notices.
constexpr net::Millis kSilenceOfCut{700};
/// One call may fail by itself; silence of the other zones is a second sign, so two are enough.
constexpr int kFailuresOfCut = 2;
/// A cut ends answers and news at the same time. The last answer may be older than the cut by the
/// time that an idle feed waits, 2.5 s; news that ended long before it is of zones that are gone.
constexpr net::Millis kTogether{3000};
/// Nodes elsewhere that have lost the store as well have said so by then: three calls fail within
/// half a second and their news takes up to a second. A store that is slow for all answers some
/// call within this time.
constexpr net::Millis kUnansweredWhenLost{1500};
/// With fewer failures in a row single lost answers could be all.
constexpr int kFailuresWhenLost = 4;

bool most(int part, int whole) { return part * 2 > whole; }

/// A fleet that has just begun hears other zones seldom, and a store that is slow or loses answers
/// fails some calls in a row: that is no cut while the store answered a moment ago. Without this 23
/// times a node of 84 stepped aside in the four seconds between a restart of half of them, beside a
/// slow store, and the cut of a zone (counted in their logs, one run).
bool answered_just_now(const ReadinessView& view) { return view.store_unanswered < kSilenceOfCut; }

bool cut_off(const ReadinessView& view) {
  const auto& others = elsewhere(view);
  if (others.known == 0 || view.store_failures < kFailuresOfCut) return false;
  if (others.newest_news < kSilenceOfCut) return false;
  if (others.newest_news - kTogether > view.store_unanswered) return false;
  return !answered_just_now(view);
}

bool store_lost_here(const ReadinessView& view) {
  const auto& others = elsewhere(view);
  if (view.store_failures < kFailuresWhenLost) return false;
  if (view.store_unanswered < kUnansweredWhenLost) return false;
  return others.heard > 0 && most(others.reach_store, others.heard);
}

bool zone_steps_aside(const ReadinessView& view) {
  const auto& zone = view.own_zone;
  return zone.heard > 0 && most(zone.step_aside, zone.heard) && !most(zone.reach_store, zone.heard);
}

Reason reason_of(const ReadinessView& view) {
  if (view.store_failures == 0) return Reason::kStoreAnswers;
  if (cut_off(view)) return Reason::kCutOff;
  if (store_lost_here(view)) return Reason::kStoreLostHere;
  if (zone_steps_aside(view)) return Reason::kZoneStepsAside;
  return Reason::kStoreAwayForAll;
}

}  // namespace

const NodesSeen& elsewhere(const ReadinessView& view) {
  return view.other_zones.known > 0 ? view.other_zones : view.own_zone;
}

Readiness decide(const ReadinessView& view) {
  Readiness readiness;
  readiness.reason = reason_of(view);
  readiness.serve =
      readiness.reason == Reason::kStoreAnswers || readiness.reason == Reason::kStoreAwayForAll;
  const auto& zone = view.own_zone;
  readiness.whole_zone = zone.heard > 0 && !most(zone.reach_store, zone.heard);
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
