#include "admission/program_admission.hpp"

#include <algorithm>

#include "admission/unheard_begins.hpp"

namespace sailgate::admission {

namespace {

/// Window in which started programs count against their tenant's share. Several times the age of
/// peer reports (up to 0.4 s), so that shares don't oscillate with each report, yet short enough
/// that a tenant that sent too much is limited for a few seconds only.
constexpr net::Millis kFairShareWindow{3000};
/// Tenants reported in a beacon: each takes about 8 bytes of a datagram of at most 8,192 bytes that
/// also carries other data. Those with the most programs are kept, since fair sharing refuses only
/// them.
constexpr std::size_t kMaxReportedTenants = 200;
/// Callers are not asked to retry before nodes have exchanged new loads, which happens ten times a
/// second. An early retry can still finish in time: under three times the normal load for 6 s, 71
/// of 100 programs did, against 68 with 400 ms, 63 with 800 ms, and 59 to 61 with random delays of
/// 800 to 1,200 ms (12 nodes, simulated time).
constexpr net::Millis kMinRetryDelay{100};
/// Callers honor retry delays of up to their remaining time divided by this.
constexpr int kMaxRetryDelayDivisor = 3;
constexpr net::Millis kRetryDelayFloor{50};
/// Smoothing factor of the moving average of first-turn durations: it follows about ten turns.
constexpr double kMeanTimeSmoothing = 0.1;
constexpr double kMillisPerSecond = 1000;

}  // namespace

void ProgramAdmission::hear(ProgramStartsByTenant starts, std::size_t nodes,
                            net::TimePoint heard_at) {
  peer_starts_ = std::move(starts);
  node_count_ = std::max<std::size_t>(nodes, 1);
  heard_at_ = heard_at;
}

net::Millis ProgramAdmission::age(net::TimePoint now) const {
  if (heard_at_ == net::TimePoint{}) return net::Millis(0);
  return std::chrono::duration_cast<net::Millis>(now - heard_at_);
}

ProgramStartsByTenant ProgramAdmission::own_starts(net::TimePoint now) {
  ProgramStartsByTenant starts;
  for (auto entry = own_starts_.begin(); entry != own_starts_.end();) {
    const int count = entry->second.within(now, kFairShareWindow);
    if (count > 0) starts[entry->first] = count;
    entry = count > 0 ? std::next(entry) : own_starts_.erase(entry);
  }
  return starts;
}

double ProgramAdmission::estimated_unreported_starts(net::TimePoint now) {
  double recent = 0;
  double programs = 0;
  for (auto& [tenant, starts] : own_starts_) {
    recent += starts.within(now, kMaxPeerReportAge);
    programs += starts.within(now, kFairShareWindow);
  }
  constexpr double kReportAgeFraction = static_cast<double>(kMaxPeerReportAge.count()) /
                                        static_cast<double>(kFairShareWindow.count());
  return estimate_unreported_starts(recent, programs * kReportAgeFraction, node_count_ - 1);
}

Decision ProgramAdmission::admit(const ServiceLoad& service, const ProgramRequest& request,
                                 net::TimePoint now) {
  auto starts = own_starts(now);
  for (const auto& [tenant, count] : peer_starts_) starts[tenant] += count;
  auto estimated = service;
  const double unreported_starts = estimated_unreported_starts(now);
  if (service.slots > 0) estimated.load += unreported_starts / service.slots;
  auto decision = decide(estimated, starts, request);
  decision.unreported_starts = unreported_starts;
  if (decision.admitted() && !request.program_started) {
    own_starts_.try_emplace(request.tenant, kFairShareWindow).first->second.add(now);
  }
  return decision;
}

double ProgramAdmission::starts_per_s(net::TimePoint now) {
  double programs = 0;
  for (const auto& [tenant, count] : own_starts(now)) programs += count;
  for (const auto& [tenant, count] : peer_starts_) programs += count;
  return programs * kMillisPerSecond / static_cast<double>(kFairShareWindow.count());
}

net::Millis ProgramAdmission::retry_delay(const std::string& service, const ProgramRequest& request,
                                          net::TimePoint now) {
  RetryPacing pacing;
  pacing.starts_per_s = starts_per_s(now);
  pacing.node_count = node_count_;
  pacing.min_delay = kMinRetryDelay;
  pacing.max_delay = std::max(request.time_left / kMaxRetryDelayDivisor, kRetryDelayFloor);
  return retry_schedules_.try_emplace(service, phase_)
      .first->second.next_retry_delay(request.rank, pacing, now);
}

void ProgramAdmission::record_first_turn(const std::string& service, net::Millis time) {
  const auto millis = static_cast<double>(time.count());
  auto& mean = first_turn_millis_.try_emplace(service, millis).first->second;
  mean += kMeanTimeSmoothing * (millis - mean);
}

net::Millis ProgramAdmission::first_turn_time(const std::string& service) const {
  const auto mean = first_turn_millis_.find(service);
  if (mean == first_turn_millis_.end()) return net::Millis(0);
  return net::Millis(static_cast<std::int64_t>(mean->second));
}

ProgramStartsByTenant ProgramAdmission::told(net::TimePoint now) {
  auto starts = own_starts(now);
  while (starts.size() > kMaxReportedTenants) {
    starts.erase(std::min_element(starts.begin(), starts.end(), [](const auto& a, const auto& b) {
      return a.second < b.second;
    }));
  }
  return starts;
}

}  // namespace sailgate::admission
