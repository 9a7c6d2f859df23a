/// @file Holds tenants to their limits over all nodes.
///
/// Each node counts the requests that it lets through and tells the others in its beacons; each
/// decides by itself from what it was told (quota/admission.hpp). No request waits for another
/// node, and a node that hears of nobody still has its share.
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

/// A request that asks to be let through.
struct QuotaRequest {
  tenancy::StateKey program;  ///< empty: not part of a program
  bool continues = false;     ///< it goes on from an earlier request of its program
  bool is_retry = false;      ///< it was told to wait for news
};

/// Not thread-safe: belongs to the event loop.
class TenantQuotas {
 public:
  TenantQuotas(const PeerDirectory& directory, quota::Bounds bounds, net::TimePoint started_at,
               std::uint64_t seed)
      : directory_(directory),
        bounds_(bounds),
        started_at_(started_at),
        random_(seed),
        stalls_(started_at) {}

  /// Takes over which nodes are heard of; called every 0.1 s or so.
  /// @param silence longest time between a peer's beacons.
  void refresh(net::TimePoint now, net::Millis silence);
  /// Decides on a request; one that is let through is counted.
  quota::Admission admit(const tenancy::Tenant& tenant, const QuotaRequest& request,
                         net::TimePoint now);
  /// This node has just begun, or stood still: the others' news is on its way, and a request that
  /// is refused now may pass when it has come.
  bool awaits_peer_reports(net::TimePoint now) const {
    return stalls_.resumed_within(kPeerReportTime, now);
  }
  /// Until then news has come in. Requests that piled up meanwhile are spread over as long again,
  /// since no node sees the others' yet.
  net::Millis peer_report_retry_delay(net::TimePoint now);
  /// A request that was let through at `then` never ran: only those that run count. Programs that
  /// loop send several turns a second that their budget refuses; counted, they took the whole limit
  /// of a small tenant.
  void refund(const tenancy::Tenant& tenant, net::TimePoint then);
  /// What this node let through lately, for its beacons.
  TenantUsages told(net::TimePoint now);
  /// So much of a limit was let through since told() that the others should not wait for the next
  /// round to hear it.
  bool report_due() const { return report_due_; }
  const Membership& membership() const { return membership_; }

 private:
  /// Requests of a tenant at this node.
  struct LocalUsage {
    explicit LocalUsage(net::Millis window) : admitted(window), received(window) {}
    quota::UsageWindow admitted;
    quota::UsageWindow received;  ///< let through or not
    int unreported = 0;           ///< let through since told()
  };

  void record_admitted(LocalUsage& own, const tenancy::Tenant& tenant,
                       const quota::Admission& admission, net::TimePoint now);
  std::int32_t received_per_second(quota::UsageWindow& received, net::TimePoint now) const;
  quota::FleetUsage usage_of(const std::string& tenant, quota::UsageWindow& admitted,
                             net::TimePoint now) const;

  /// A refresh that is this late means that the process stood still.
  static constexpr net::Millis kMaxRefreshInterval{300};
  /// Time in which beacons of the own zone and summaries of the others come in.
  static constexpr net::Millis kPeerReportTime{400};
  /// Programs remembered as under way: at 100 a second over 84 nodes some hours of them.
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
