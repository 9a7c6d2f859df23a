#include "cluster/fleet_usage.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "cluster/news_age.hpp"

namespace sailgate::cluster {

namespace {

constexpr double kMillisPerSecond = 1000;
/// The reports in a zone summary are older than the summary by up to one beacon interval.
constexpr net::Millis kSummaryInputAge{200};

net::Millis between(net::TimePoint earlier, net::TimePoint later) {
  return std::max(std::chrono::duration_cast<net::Millis>(later - earlier), net::Millis(0));
}

/// Accumulates the reports about one tenant.
class UsageSum {
 public:
  UsageSum(std::int32_t tenant, net::TimePoint now, net::Millis silence, net::Millis window)
      : tenant_(tenant), now_(now), news_age_(FreshnessDecay::within(silence)), window_(window) {}

  void add(const TenantUsages& reports, net::TimePoint reported_at) {
    const auto found = reports.find(tenant_);
    if (found == reports.end()) return;
    const auto age = between(reported_at, now_);
    const auto usage = age_usage(found->second, age, window_);
    const double weight = news_age_.weight(age);
    sum_.reported += weight * usage.window;
    sum_.silent += (1 - weight) * usage.window;
    const auto age_ms = static_cast<double>(age.count());
    sum_.unreported += weight * usage.asked_per_s * age_ms / kMillisPerSecond;
    add_age_buckets(usage, age, weight);
    if (usage.__isset.parts) return;
    const double expired_share = std::min(1.0, age_ms / static_cast<double>(kExpiringSoon.count()));
    sum_.expired += weight * usage.leaving_soon * expired_share;
  }
  const PeerUsage& sum() const { return sum_; }

 private:
  void add_age_buckets(const wire::TenantUsage& usage, net::Millis age, double weight) {
    const auto length = quota::bucket_length(window_);
    const double aged_out =
        static_cast<double>((age % length).count()) / static_cast<double>(length.count());
    const auto parts = read_age_buckets(usage);
    for (std::size_t part = 0; part < parts.size(); ++part) {
      sum_.reported_by_age[part] += weight * parts[part];
      sum_.silent_by_age[part] += (1 - weight) * parts[part];
      sum_.expired_by_age[part] += weight * parts[part] * aged_out;
    }
    sum_.expired += weight * parts.back() * aged_out;
  }

  std::int32_t tenant_;
  net::TimePoint now_;
  FreshnessDecay news_age_;
  net::Millis window_;
  PeerUsage sum_;
};

/// Number of nodes covered by a zone summary, each weighted by the freshness of its report. Nodes
/// of the zone that are known only from other sources are not counted: right after a network
/// partition heals, a summary made on one side covered only half of the admitted requests.
double fresh_summary_members(const ZoneSums& sum, net::TimePoint now,
                             const FreshnessDecay& news_age) {
  const auto age = between(sum.summarized_at, now);
  double nodes = 0;
  for (const auto silent : sum.member_silence) nodes += news_age.weight(age + silent);
  return nodes;
}

}  // namespace

PeerUsage peer_usage(const PeerDirectory& directory, std::int32_t tenant, net::TimePoint now,
                     net::Millis silence, net::Millis window) {
  UsageSum sum(tenant, now, silence, window);
  const auto& zones = directory.zone_sums();
  for (const auto& [zone, known] : zones) {
    sum.add(known.stats.tenants, known.summarized_at - kSummaryInputAge);
    for (const auto& lost : known.lost) sum.add(lost.tenants, lost.reported_at - kSummaryInputAge);
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
    // Reports of the node's earlier processes are counted separately.
    const auto uncovered = directory.departed().unreported_time(node, now - window, start);
    // Spans are evaluated in steps of one bucket, so up to one more bucket may be missing.
    const auto before = std::min(window, uncovered + quota::bucket_length(window));
    membership.restarted_share += 1;
    membership.unknown_history +=
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
  // A node that left recently may still be serving and uses its share of the limits.
  for (const auto& [incarnation, departed] : directory.departed().all()) {
    if (departed.replaced || now >= departed.left_at + window) continue;
    ++membership.known;
    const auto sum = directory.zone_sums().find(departed.zone);
    const bool summed = sum != directory.zone_sums().end();
    const auto reported_at = summed ? sum->second.summarized_at : departed.last_heard;
    membership.fresh += news_age.weight(between(reported_at, now));
  }
  for (const auto& [zone, sum] : directory.zone_sums()) {
    membership.fresh += std::min(fresh_summary_members(sum, now, news_age), known_in_zone[zone]);
  }
  membership.restarted_share /= static_cast<double>(membership.known);
  membership.unknown_history /= static_cast<double>(membership.known);
  return membership;
}

}  // namespace sailgate::cluster
