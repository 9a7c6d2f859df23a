#include "admission/program_admission.hpp"

#include <algorithm>

#include "admission/unheard_begins.hpp"

namespace sailgate::admission {

namespace {

/// Span over which programs count against their tenant's share: several times the age of what nodes
/// hear of each other (up to 0.4 s), so that shares don't swing with the news, and short enough
/// that a tenant is held back for seconds only after it sent too much.
constexpr net::Millis kShareSpan{3000};
/// Tenants that a beacon tells of: about 8 bytes each of a datagram of at most 8,192, beside other
/// figures. Those with the most programs come first, since shares hold back nobody else.
constexpr std::size_t kMostTold = 200;
/// Nobody is told to come back before nodes have taken over newer loads, which they do ten times a
/// second. Who comes back soon can still end in time: at three times the usual work for 6 s 71 of
/// 100 programs did, 68 with 400 ms and 63 with 800 ms, 59 to 61 with 800 to 1,200 ms by chance
/// (12 nodes in virtual time).
constexpr net::Millis kFirstReturn{100};
/// Callers heed a time to come back of up to this part of the time they have left.
constexpr int kReturnShare = 3;
constexpr net::Millis kShortestReturn{50};
/// Weight of one more first turn in the mean of their times: the mean follows some ten turns.
constexpr double kTimeWeight = 0.1;
constexpr double kMillisPerSecond = 1000;

}  // namespace

void ProgramAdmission::hear(BegunByTenant begun, std::size_t nodes, net::TimePoint heard_at) {
  heard_ = std::move(begun);
  nodes_ = std::max<std::size_t>(nodes, 1);
  heard_at_ = heard_at;
}

net::Millis ProgramAdmission::age(net::TimePoint now) const {
  if (heard_at_ == net::TimePoint{}) return net::Millis(0);
  return std::chrono::duration_cast<net::Millis>(now - heard_at_);
}

BegunByTenant ProgramAdmission::own(net::TimePoint now) {
  BegunByTenant begun;
  for (auto entry = own_.begin(); entry != own_.end();) {
    const int count = entry->second.within(now, kShareSpan);
    if (count > 0) begun[entry->first] = count;
    entry = count > 0 ? std::next(entry) : own_.erase(entry);
  }
  return begun;
}

double ProgramAdmission::begins_unheard_of(net::TimePoint now) {
  double recent = 0;
  double programs = 0;
  for (auto& [tenant, begun] : own_) {
    recent += begun.within(now, kNewsAge);
    programs += begun.within(now, kShareSpan);
  }
  constexpr double kNewsPart =
      static_cast<double>(kNewsAge.count()) / static_cast<double>(kShareSpan.count());
  return unheard_begins(recent, programs * kNewsPart, nodes_ - 1);
}

Decision ProgramAdmission::admit(const ServiceLoad& service, const ProgramRequest& request,
                                 net::TimePoint now) {
  auto begun = own(now);
  for (const auto& [tenant, count] : heard_) begun[tenant] += count;
  auto estimated = service;
  const double unheard = begins_unheard_of(now);
  if (service.slots > 0) estimated.load += unheard / service.slots;
  auto decision = decide(estimated, begun, request);
  decision.unheard = unheard;
  if (decision.admitted() && !request.under_way) {
    own_.try_emplace(request.tenant, kShareSpan).first->second.add(now);
  }
  return decision;
}

double ProgramAdmission::begins_per_s(net::TimePoint now) {
  double programs = 0;
  for (const auto& [tenant, count] : own(now)) programs += count;
  for (const auto& [tenant, count] : heard_) programs += count;
  return programs * kMillisPerSecond / static_cast<double>(kShareSpan.count());
}

net::Millis ProgramAdmission::return_time(const std::string& service, const ProgramRequest& request,
                                          net::TimePoint now) {
  ReturnPace pace;
  pace.begins_per_s = begins_per_s(now);
  pace.nodes = nodes_;
  pace.first = kFirstReturn;
  pace.longest = std::max(request.time_left / kReturnShare, kShortestReturn);
  return returns_.try_emplace(service, phase_).first->second.place(request.rank, pace, now);
}

void ProgramAdmission::note_first_turn(const std::string& service, net::Millis time) {
  const auto millis = static_cast<double>(time.count());
  auto& mean = first_turn_millis_.try_emplace(service, millis).first->second;
  mean += kTimeWeight * (millis - mean);
}

net::Millis ProgramAdmission::first_turn_time(const std::string& service) const {
  const auto mean = first_turn_millis_.find(service);
  if (mean == first_turn_millis_.end()) return net::Millis(0);
  return net::Millis(static_cast<std::int64_t>(mean->second));
}

BegunByTenant ProgramAdmission::told(net::TimePoint now) {
  auto begun = own(now);
  while (begun.size() > kMostTold) {
    begun.erase(std::min_element(begun.begin(), begun.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  return begun;
}

}  // namespace sailgate::admission
