#include "cluster/tenant_quotas.hpp"

#include <algorithm>
#include <functional>

namespace sailgate::cluster {

namespace {

constexpr net::Millis kSecond{1000};
/// Minimum observation time for extrapolating a rate; a few requests right after the start do not
/// give a meaningful one.
constexpr net::Millis kMinObservation{100};
/// Maximum number of tenants in a beacon. Each takes about 13 bytes of a datagram of at most 8,192,
/// and about as many again for the age buckets, which are omitted if they do not fit. The tenants
/// with the most requests take precedence, since they are the ones that can come near a limit.
constexpr std::size_t kMaxReportedTenants = 400;
/// Share of a tenant's limit above which nodes report admitted requests early.
constexpr double kNearLimitShare = 0.5;
/// Share of the allowance above a limit that all nodes together may admit without reporting,
/// assuming that the load is spread evenly over the nodes.
constexpr double kReportAtAllowance = 0.25;

}  // namespace

void TenantQuotas::refresh(net::TimePoint now, net::Millis silence) {
  silence_ = silence;
  stalls_.tick(now, kMaxRefreshInterval);
  membership_ = membership_of(directory_, now, silence, bounds_.window, started_at_);
}

quota::FleetUsage TenantQuotas::usage_of(const std::string& tenant, quota::UsageWindow& admitted,
                                         net::TimePoint now) const {
  const auto others = peer_usage(directory_, tenant_key(tenant), now, silence_, bounds_.window);
  quota::FleetUsage usage;
  const auto own = admitted.buckets(now, bounds_.window);
  usage.own = quota::sum_latest_buckets(own, own.size());
  usage.others = others.reported;
  usage.silent = others.silent;
  usage.unreported = others.unreported;
  usage.expired = others.expired;
  std::transform(own.begin(), own.end(), others.reported_by_age.begin(),
                 usage.reported_by_age.begin(), std::plus<>());
  usage.silent_by_age = others.silent_by_age;
  usage.expired_by_age = others.expired_by_age;
  usage.restarted_share = membership_.restarted_share;
  usage.unknown_history = membership_.unknown_history;
  // Without the full set of nodes, this node cannot determine its share.
  const auto known = static_cast<double>(membership_.known);
  usage.live_share = membership_.complete ? membership_.fresh / known : 0;
  return usage;
}

quota::Admission TenantQuotas::admit(const tenancy::Tenant& tenant, const QuotaRequest& request,
                                     net::TimePoint now) {
  if (!tenant.limit.limited()) return quota::decide(tenant.limit, bounds_, {}, {}, 0);
  // After a stall, requests may be handled before the periodic refresh runs, and the membership
  // from before the stall is outdated.
  if (stalls_.stalled(now, kMaxRefreshInterval)) refresh(now, silence_);
  auto& own = own_.try_emplace(tenant.name, bounds_.window).first->second;
  if (!request.is_retry) own.received.add(now);
  const auto usage = usage_of(tenant.name, own.admitted, now);
  const bool under_way = request.continues || programs_.contains(request.program.text());
  const auto stage = under_way ? quota::ProgramStage::kInProgress : quota::ProgramStage::kNew;
  constexpr std::uint64_t kDrawRange = 1U << 20U;
  const double draw = static_cast<double>(random_.below(kDrawRange)) / kDrawRange;
  const auto admission = quota::decide(tenant.limit, bounds_, usage, stage, draw);
  if (admission.admitted) {
    record_admitted(own, tenant, admission, now);
    if (!request.program.empty()) programs_.add(request.program.text());
  }
  return admission;
}

void TenantQuotas::record_admitted(LocalUsage& own, const tenancy::Tenant& tenant,
                                   const quota::Admission& admission, net::TimePoint now) {
  own.admitted.add(now);
  ++own.unreported;
  const double allowance = quota::allowance_above_limit(tenant.limit, bounds_);
  const double fleet_unreported = own.unreported * static_cast<double>(membership_.known);
  const bool near_limit =
      admission.counted + fleet_unreported >= kNearLimitShare * admission.allowed;
  if (near_limit && fleet_unreported >= kReportAtAllowance * allowance) report_due_ = true;
}

net::Millis TenantQuotas::peer_report_retry_delay(net::TimePoint now) {
  const auto spread = random_.below(static_cast<std::uint64_t>(kPeerReportTime.count()));
  const auto resumed = std::chrono::duration_cast<net::Millis>(now - stalls_.resumed_at());
  return kPeerReportTime - resumed + net::Millis(static_cast<std::int64_t>(spread));
}

void TenantQuotas::refund(const tenancy::Tenant& tenant, net::TimePoint then) {
  const auto own = own_.find(tenant.name);
  if (own != own_.end()) own->second.admitted.refund(then);
}

std::int32_t TenantQuotas::received_per_second(quota::UsageWindow& received,
                                               net::TimePoint now) const {
  // A process that started less than a second ago has observed only part of a second.
  const auto uptime = std::chrono::duration_cast<net::Millis>(now - started_at_);
  const auto observed = std::clamp(uptime, kMinObservation, kSecond);
  // The half-second count detects a rising rate in half the time. Steady rates are reported up to
  // 50% too high, because single requests at many nodes may fall into either half.
  const std::int64_t recent_rate = std::int64_t{2} * received.within(now, kSecond / 2);
  const std::int64_t rate_over_second = received.within(now, kSecond) * kSecond / observed;
  return static_cast<std::int32_t>(std::max(rate_over_second, recent_rate));
}

TenantUsages TenantQuotas::told(net::TimePoint now) {
  TenantUsages usages;
  report_due_ = false;
  for (auto entry = own_.begin(); entry != own_.end();) {
    auto& own = entry->second;
    own.unreported = 0;
    wire::TenantUsage usage;
    usage.window = own.admitted.within(now, bounds_.window);
    usage.leaving_soon = own.admitted.count_expiring(now, bounds_.window, kExpiringSoon);
    usage.asked_per_s = received_per_second(own.received, now);
    write_age_buckets(own.admitted.buckets(now, bounds_.window), usage);
    if (usage.window > 0 || usage.asked_per_s > 0) usages[tenant_key(entry->first)] = usage;
    const bool unused = own.admitted.empty() && own.received.empty();
    entry = unused ? own_.erase(entry) : std::next(entry);
  }
  while (usages.size() > kMaxReportedTenants) {
    usages.erase(std::min_element(usages.begin(), usages.end(), [](const auto& a, const auto& b) {
      return a.second.window < b.second.window;
    }));
  }
  return usages;
}

}  // namespace sailgate::cluster
