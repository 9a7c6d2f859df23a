#include "cluster/tenant_quotas.hpp"

#include <algorithm>
#include <functional>

namespace sailgate::cluster {

namespace {

constexpr net::Millis kSecond{1000};
/// A rate is not extrapolated from less than this: a few requests at a start are no rate.
constexpr net::Millis kShortestSeen{100};
/// Tenants that a beacon tells of: about 13 bytes each of a datagram of at most 8,192, and as many
/// for the ages of their requests, which are left out where they do not fit. Those with the most
/// requests come first, since they are the ones that can come near a limit.
constexpr std::size_t kMostTold = 400;
/// Share of a tenant's limit from which on nodes tell sooner what they let through.
constexpr double kNearLimit = 0.5;
/// Share of the reserve above a limit that all nodes together may let through untold, if all are
/// asked alike.
constexpr double kTellAtReserve = 0.25;

}  // namespace

void TenantQuotas::refresh(net::TimePoint now, net::Millis silence) {
  silence_ = silence;
  stalls_.tick(now, kLongestUpkeep);
  membership_ = membership_of(directory_, now, silence, bounds_.window, started_at_);
}

quota::FleetUsage TenantQuotas::usage_of(const std::string& tenant, quota::UsageWindow& passed,
                                         net::TimePoint now) const {
  const auto others =
      usage_of_others(directory_, tenant_key(tenant), now, silence_, bounds_.window);
  quota::FleetUsage usage;
  const auto own = passed.parts(now, bounds_.window);
  usage.own = quota::latest(own, own.size());
  usage.others = others.heard;
  usage.silent = others.silent;
  usage.unseen = others.unseen;
  usage.left = others.left;
  std::transform(own.begin(), own.end(), others.heard_by_age.begin(), usage.told_by_age.begin(),
                 std::plus<>());
  usage.silent_by_age = others.silent_by_age;
  usage.left_by_age = others.left_by_age;
  usage.restarted = membership_.restarted;
  usage.forgotten = membership_.forgotten;
  // A node that does not know of the others cannot tell how small its share is.
  const auto known = static_cast<double>(membership_.known);
  usage.live = membership_.complete ? membership_.fresh / known : 0;
  return usage;
}

quota::Admission TenantQuotas::admit(const tenancy::Tenant& tenant, const QuotaRequest& request,
                                     net::TimePoint now) {
  if (!tenant.limit.limited()) return quota::decide(tenant.limit, bounds_, {}, {}, 0);
  // After a standstill requests may come before the upkeep does: who was heard of before says
  // nothing.
  if (stalls_.stalled(now, kLongestUpkeep)) refresh(now, silence_);
  auto& own = own_.try_emplace(tenant.name, bounds_.window).first->second;
  if (!request.asked_before) own.asked.add(now);
  const auto usage = usage_of(tenant.name, own.passed, now);
  const bool under_way = request.continues || programs_.contains(request.program.text());
  const auto stage = under_way ? quota::ProgramStage::kUnderWay : quota::ProgramStage::kFirst;
  constexpr std::uint64_t kDrawRange = 1U << 20U;
  const double draw = static_cast<double>(random_.below(kDrawRange)) / kDrawRange;
  const auto admission = quota::decide(tenant.limit, bounds_, usage, stage, draw);
  if (admission.admitted) {
    note_passed(own, tenant, admission, now);
    if (!request.program.empty()) programs_.note(request.program.text());
  }
  return admission;
}

void TenantQuotas::note_passed(Own& own, const tenancy::Tenant& tenant,
                               const quota::Admission& admission, net::TimePoint now) {
  own.passed.add(now);
  ++own.untold;
  const double reserve = quota::reserve_of(tenant.limit, bounds_);
  const double untold_by_all = own.untold * static_cast<double>(membership_.known);
  const bool near_limit = admission.counted + untold_by_all >= kNearLimit * admission.allowed;
  if (near_limit && untold_by_all >= kTellAtReserve * reserve) wants_to_tell_ = true;
}

net::Millis TenantQuotas::time_to_ask_again(net::TimePoint now) {
  const auto spread = random_.below(static_cast<std::uint64_t>(kNewsTime.count()));
  const auto resumed = std::chrono::duration_cast<net::Millis>(now - stalls_.resumed_at());
  return kNewsTime - resumed + net::Millis(static_cast<std::int64_t>(spread));
}

void TenantQuotas::take_back(const tenancy::Tenant& tenant, net::TimePoint then) {
  const auto own = own_.find(tenant.name);
  if (own != own_.end()) own->second.passed.take_back(then);
}

std::int32_t TenantQuotas::asked_per_second(quota::UsageWindow& asked, net::TimePoint now) const {
  // A process that began less than a second ago has seen a part of a second only.
  const auto uptime = std::chrono::duration_cast<net::Millis>(now - started_at_);
  const auto seen = std::clamp(uptime, kShortestSeen, kSecond);
  // A rate that rises shows in half the time; steady ones are told up to half too high, since
  // single requests of many nodes fall into either span.
  const std::int64_t of_late = std::int64_t{2} * asked.within(now, kSecond / 2);
  const std::int64_t in_a_second = asked.within(now, kSecond) * kSecond / seen;
  return static_cast<std::int32_t>(std::max(in_a_second, of_late));
}

TenantUsages TenantQuotas::told(net::TimePoint now) {
  TenantUsages usages;
  wants_to_tell_ = false;
  for (auto entry = own_.begin(); entry != own_.end();) {
    auto& own = entry->second;
    own.untold = 0;
    wire::TenantUsage usage;
    usage.window = own.passed.within(now, bounds_.window);
    usage.leaving_soon = own.passed.leaving(now, bounds_.window, kLeavingSoon);
    usage.asked_per_s = asked_per_second(own.asked, now);
    tell_parts(own.passed.parts(now, bounds_.window), usage);
    if (usage.window > 0 || usage.asked_per_s > 0) usages[tenant_key(entry->first)] = usage;
    const bool over = own.passed.empty() && own.asked.empty();
    entry = over ? own_.erase(entry) : std::next(entry);
  }
  while (usages.size() > kMostTold) {
    usages.erase(std::min_element(usages.begin(), usages.end(), [](const auto& a, const auto& b) {
      return a.second.window < b.second.window;
    }));
  }
  return usages;
}

}  // namespace sailgate::cluster
