#include "readiness/readiness.hpp"

namespace sailgate::readiness {

namespace {

/// Silence of the other zones that indicates a network partition. Beacons of other zones arrive
/// several times a second. Callers of a partitioned zone lose this time in addition to the one or
/// two seconds that the load balancer takes to detect it.
constexpr net::Millis kPartitionSilence{700};
/// A single call may fail on its own. Since the silence of the other zones is a second indication,
/// two failures are enough.
constexpr int kPartitionMinFailures = 2;
/// A partition stops store answers and beacons at the same time. The last answer may be up to 2.5 s
/// older than the partition, the time for which an idle feed request waits. Zones whose beacons
/// stopped long before the last answer are down rather than unreachable.
constexpr net::Millis kPartitionMaxSkew{3000};
/// Within this time other nodes that have lost the store as well have reported it: three calls fail
/// within half a second, and the report takes up to one second. A store that is slow for all nodes
/// answers at least one call within this time.
constexpr net::Millis kStoreLossTimeout{1500};
/// Fewer consecutive failures may be due to single lost answers.
constexpr int kStoreLossMinFailures = 4;

bool is_majority(int part, int whole) { return part * 2 > whole; }

/// After a restart nodes rarely hear other zones, and a store that is slow or loses answers fails
/// several calls in a row. Neither is a partition while the store answered recently. Without this
/// check, nodes of a fleet of 84 stepped aside 23 times in the four seconds between a restart of
/// half of them, with a slow store, and the partition of a zone (counted in the logs of one run).
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
