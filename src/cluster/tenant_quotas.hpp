/// @file Distributed rate limiter: enforces tenants' limits over all nodes.
///
/// Each node counts the requests that it admits and reports the counts in its beacons. Each node
/// decides locally from the reports it received (quota/admission.hpp). No request waits for another
/// node, and an isolated node can still admit its share of the limit.
#pragma once

#include <string>
#include <unordered_map>

#include "base/random.hpp"
#include "cluster/fleet_usage.hpp"
#include "cluster/stall_detector.hpp"
#include "quota/admission.hpp"
#include "quota/recent_programs.hpp"
#include "quota/usage_window.hpp"
#include "tenancy/state_key.hpp"
#include "tenancy/tenant.hpp"

namespace sailgate::cluster {

/// A request to be checked against its tenant's limit.
struct QuotaRequest {
  tenancy::StateKey program;  ///< empty if the request belongs to no program
  bool continues = false;     ///< continues an earlier request of its program
  bool is_retry = false;      ///< repeated after waiting for peer reports
};

/// Not thread-safe; used from the event loop only.
class TenantQuotas {
 public:
  TenantQuotas(const PeerDirectory& directory, quota::Bounds bounds, net::TimePoint started_at,
               std::uint64_t seed)
      : directory_(directory),
        bounds_(bounds),
        started_at_(started_at),
        random_(seed),
        stalls_(started_at) {}

  /// Updates the membership from the peer directory; called about every 0.1 s.
  /// @param silence time without a beacon after which a peer counts as silent.
  void refresh(net::TimePoint now, net::Millis silence);
  /// Decides on a request and counts it if admitted.
  quota::Admission admit(const tenancy::Tenant& tenant, const QuotaRequest& request,
                         net::TimePoint now);
  /// Whether this node has just started or resumed after a stall. Peer reports are then still in
  /// flight, and a request refused now may be admitted once they have arrived.
  bool awaits_peer_reports(net::TimePoint now) const {
    return stalls_.resumed_within(kPeerReportTime, now);
  }
  /// Delay after which peer reports have arrived. A random part of up to the same length spreads
  /// queued requests, because the nodes do not see each other's admissions yet.
  net::Millis peer_report_retry_delay(net::TimePoint now);
  /// Removes a request admitted at `then` that never ran, since only requests that run count.
  /// Programs in a loop send several turns a second that their token budget refuses; when these
  /// were counted, they used up the whole limit of a small tenant.
  void refund(const tenancy::Tenant& tenant, net::TimePoint then);
  /// Report of the requests recently admitted by this node, for its beacons.
  TenantUsages told(net::TimePoint now);
  /// Whether so much of a limit was admitted since told() that the next report should be sent
  /// before the regular beacon.
  bool report_due() const { return report_due_; }
  const Membership& membership() const { return membership_; }

 private:
  /// A tenant's requests at this node.
  struct LocalUsage {
    explicit LocalUsage(net::Millis window) : admitted(window), received(window) {}
    quota::UsageWindow admitted;
    quota::UsageWindow received;  ///< admitted or refused
    int unreported = 0;           ///< admitted since told()
  };

  void record_admitted(LocalUsage& own, const tenancy::Tenant& tenant,
                       const quota::Admission& admission, net::TimePoint now);
  std::int32_t received_per_second(quota::UsageWindow& received, net::TimePoint now) const;
  quota::FleetUsage usage_of(const std::string& tenant, quota::UsageWindow& admitted,
                             net::TimePoint now) const;

  /// A longer gap between refreshes means that the process was stalled.
  static constexpr net::Millis kMaxRefreshInterval{300};
  /// Time within which beacons of the own zone and summaries of the other zones arrive.
  static constexpr net::Millis kPeerReportTime{400};
  /// Programs remembered as in progress: at 100 per second over 84 nodes, this covers some hours.
  static constexpr std::size_t kMaxPrograms = 10'000;

  const PeerDirectory& directory_;
  quota::Bounds bounds_;
  net::TimePoint started_at_;
  base::Random random_;
  StallDetector stalls_;
  net::Millis silence_{0};
  Membership membership_;
  std::unordered_map<std::string, LocalUsage> own_;  ///< by the tenant's name
  quota::RecentPrograms programs_{kMaxPrograms};
  bool report_due_ = false;
};

}  // namespace sailgate::cluster
