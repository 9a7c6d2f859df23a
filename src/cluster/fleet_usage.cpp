#include "cluster/fleet_usage.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "cluster/news_age.hpp"

namespace sailgate::cluster {

namespace {

constexpr double kMillisPerSecond = 1000;
/// What a zone's summary sums up is older than the summary by up to a round of beacons in the zone.
constexpr net::Millis kSummedAge{200};

net::Millis between(net::TimePoint earlier, net::TimePoint later) {
  return std::max(std::chrono::duration_cast<net::Millis>(later - earlier), net::Millis(0));
}

/// Sums up what was told of one tenant.
class UsageSum {
 public:
  UsageSum(std::int32_t tenant, net::TimePoint now, net::Millis silence, net::Millis window)
      : tenant_(tenant), now_(now), news_age_(FreshnessDecay::within(silence)), window_(window) {}

  void add(const TenantUsages& told, net::TimePoint reported_at) {
    const auto found = told.find(tenant_);
    if (found == told.end()) return;
    const auto age = between(reported_at, now_);
    const auto usage = aged(found->second, age, window_);
    const double weight = news_age_.weight(age);
    sum_.heard += weight * usage.window;
    sum_.silent += (1 - weight) * usage.window;
    const auto age_ms = static_cast<double>(age.count());
    sum_.unseen += weight * usage.asked_per_s * age_ms / kMillisPerSecond;
    add_parts(usage, age, weight);
    if (usage.__isset.parts) return;
    const double gone = std::min(1.0, age_ms / static_cast<double>(kLeavingSoon.count()));
    sum_.left += weight * usage.leaving_soon * gone;
  }
  const OthersUsage& sum() const { return sum_; }

 private:
  void add_parts(const wire::TenantUsage& usage, net::Millis age, double weight) {
    const auto length = quota::part_of(window_);
    const double grown_older =
        static_cast<double>((age % length).count()) / static_cast<double>(length.count());
    const auto parts = told_parts(usage);
    for (std::size_t part = 0; part < parts.size(); ++part) {
      sum_.heard_by_age[part] += weight * parts[part];
      sum_.silent_by_age[part] += (1 - weight) * parts[part];
      sum_.left_by_age[part] += weight * parts[part] * grown_older;
    }
    sum_.left += weight * parts.back() * grown_older;
  }

  std::int32_t tenant_;
  net::TimePoint now_;
  FreshnessDecay news_age_;
  net::Millis window_;
  OthersUsage sum_;
};

/// Nodes that a zone's sum stands for, each by how fresh news of it is. A node of the zone that is
/// heard by other ways does not count: right after a cut has healed, sums that one side made told
/// half of what had passed.
double nodes_summed(const ZoneSums& sum, net::TimePoint now, const FreshnessDecay& news_age) {
  const auto age = between(sum.summarized_at, now);
  double nodes = 0;
  for (const auto silent : sum.member_silence) nodes += news_age.weight(age + silent);
  return nodes;
}

}  // namespace

OthersUsage usage_of_others(const PeerDirectory& directory, std::int32_t tenant, net::TimePoint now,
                            net::Millis silence, net::Millis window) {
  UsageSum sum(tenant, now, silence, window);
  const auto& zones = directory.zone_sums();
  for (const auto& [zone, known] : zones) {
    sum.add(known.stats.tenants, known.summarized_at - kSummedAge);
    for (const auto& lost : known.lost) sum.add(lost.tenants, lost.reported_at - kSummedAge);
  }
  for (const auto& [node, peer] : directory.peers()) {
    if (zones.count(peer.zone) == 0) sum.add(peer.stats.tenants, peer.last_heard);
  }
  for (const auto& [incarnation, departed] : directory.departed().all()) {
    if (zones.count(departed.zone) == 0) sum.add(departed.tenants, departed.last_heard);
  }
  return sum.sum();
}

Membership membership_of(const PeerDirectory& directory, net::TimePoint now, net::Millis silence,
                         net::Millis window, net::TimePoint started_at) {
  const auto news_age = FreshnessDecay::within(silence);
  Membership membership;
  const auto add_start = [&](const std::string& node, net::TimePoint start) {
    const auto served = between(start, now);
    if (served >= window) return;
    // What the node's processes before told counts by itself.
    const auto untold = directory.departed().unreported_time(node, now - window, start);
    // Spans are looked at in steps of a part: in one of them as much again may have passed.
    const auto before = std::min(window, untold + quota::part_of(window));
    membership.restarted += 1;
    membership.forgotten +=
        static_cast<double>(before.count()) / static_cast<double>(window.count());
  };
  membership.complete = directory.complete();
  add_start(directory.self(), started_at);
  std::map<std::string, double> known_in_zone;
  for (const auto& [node, peer] : directory.peers()) {
    ++membership.known;
    add_start(node, peer.started_at);
    ++known_in_zone[peer.zone];
    if (!peer.has_reported) continue;
    if (now < peer.last_heard + silence) ++membership.heard;
    const bool summed = directory.zone_sums().count(peer.zone) > 0;
    if (!summed) membership.fresh += news_age.weight(between(peer.last_heard, now));
  }
  // Whoever left a moment ago serves on and takes its part of limits.
  for (const auto& [incarnation, departed] : directory.departed().all()) {
    if (departed.replaced || now >= departed.left_at + window) continue;
    ++membership.known;
    const auto sum = directory.zone_sums().find(departed.zone);
    const bool summed = sum != directory.zone_sums().end();
    const auto reported_at = summed ? sum->second.summarized_at : departed.last_heard;
    membership.fresh += news_age.weight(between(reported_at, now));
  }
  for (const auto& [zone, sum] : directory.zone_sums()) {
    membership.fresh += std::min(nodes_summed(sum, now, news_age), known_in_zone[zone]);
  }
  membership.restarted /= static_cast<double>(membership.known);
  membership.forgotten /= static_cast<double>(membership.known);
  return membership;
}

}  // namespace sailgate::cluster
