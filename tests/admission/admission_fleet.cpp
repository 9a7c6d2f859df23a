#include "admission/admission_fleet.hpp"

#include <numeric>

#include "admission/load_bounds.hpp"

namespace sailgate::test {

AdmissionFleet::AdmissionFleet(Policy policy, net::Millis report_age, std::uint64_t seed)
    : policy_(policy), report_age_(report_age), random_(seed), node_requests_(kNodes) {
  for (int node = 0; node < kNodes; ++node) nodes_.emplace_back(random_.fraction());
}

void AdmissionFleet::send(const Rates& rates, net::Millis time) {
  for (const auto end = now_ + time; now_ < end;) {
    step();
    for (const auto& [kind, rate] : rates) {
      auto& pending = pending_starts_[kind];
      // Twice the rate in a random half of the ticks: arrivals are not evenly spaced.
      if (random_.chance(50)) pending += 2 * rate * kTick.count() / 1000.0;
      for (; pending >= 1; --pending) send_at_once(kind, 1);
    }
  }
}

void AdmissionFleet::send_at_once(const CallerKind& kind, int callers) {
  for (int caller = 0; caller < callers; ++caller) {
    ++results_[kind].asked;
    Program program;
    program.kind = kind;
    program.arrived_at = now_;
    request_start(program);
  }
}

void AdmissionFleet::step() {
  now_ += kTick;
  end_turns();
  while (!retries_.empty() && retries_.begin()->first <= now_) {
    request_start(retries_.extract(retries_.begin()).mapped());
  }
  fill_slots();
  exchange_reports();
  highest_load_ = std::max(highest_load_, double(requests()) / slots_);
}

void AdmissionFleet::end_turns() {
  std::vector<Program> running;
  for (auto& program : running_) {
    if (program.ends_at > now_) {
      running.push_back(program);
    } else if (--program.turns_left > 0) {
      waiting_.push_back(program);
    } else {
      --node_requests_[program.node];
      auto& results = results_[program.kind];
      ++(now_ - program.arrived_at <= kLatencyGoal ? results.in_time : results.late);
    }
  }
  running_ = std::move(running);
}

void AdmissionFleet::fill_slots() {
  while (!waiting_.empty() && int(running_.size()) < slots_) {
    waiting_.front().ends_at = now_ + kTurn;
    running_.push_back(waiting_.front());
    waiting_.pop_front();
  }
}

void AdmissionFleet::exchange_reports() {
  FleetReport report{now_, node_requests_, {}};
  for (auto& node : nodes_) report.starts.push_back(node.told(now_));
  reports_.push_back(std::move(report));
  while (reports_.front().at + report_age_ < now_) reports_.pop_front();
  const auto& latest = reports_.front();
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    admission::ProgramStartsByTenant others;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other == node) continue;
      for (const auto& [tenant, count] : latest.starts[other]) others[tenant] += count;
    }
    nodes_[node].hear(std::move(others), nodes_.size(), now_);
  }
}

int AdmissionFleet::known_requests(std::size_t node) const {
  if (reports_.empty()) return node_requests_[node];
  const auto& reported = reports_.front().requests;
  return std::accumulate(reported.begin(), reported.end(), node_requests_[node] - reported[node]);
}

std::optional<net::Millis> AdmissionFleet::refusal_delay(std::size_t node, const Program& program) {
  admission::ServiceLoad service;
  service.slots = slots_;
  service.load = double(known_requests(node)) / slots_;
  if (policy_ == Policy::kLoadBoundOnly) {
    if (admission::may_start(service.load, program.kind.rank)) return std::nullopt;
    return net::Millis(800 + random_.below(400));
  }
  admission::ProgramRequest request;
  request.rank = program.kind.rank;
  request.tenant = program.kind.tenant;
  request.time_left =
      std::chrono::duration_cast<net::Millis>(program.arrived_at + kDeadline - now_);
  if (nodes_[node].admit(service, request, now_).admitted()) return std::nullopt;
  return nodes_[node].retry_delay("service", request, now_);
}

void AdmissionFleet::request_start(Program program) {
  program.node = random_.below(kNodes);
  const auto wait = refusal_delay(program.node, program);
  if (!wait) {
    ++node_requests_[program.node];
    waiting_.push_back(program);
    return;
  }
  if (requests() < slots_) ++refused_with_free_slots_;
  refuse(program, *wait);
}

void AdmissionFleet::refuse(Program program, net::Millis wait) {
  if (program.retried) {
    ++results_[program.kind].refused;
    return;
  }
  program.retried = true;
  retries_.emplace(now_ + wait, program);
}

CallerResults AdmissionFleet::results(const CallerKind& kind) const {
  const auto results = results_.find(kind);
  return results == results_.end() ? CallerResults() : results->second;
}

CallerResults AdmissionFleet::total_results() const {
  CallerResults sum;
  for (const auto& [kind, results] : results_) {
    sum.asked += results.asked;
    sum.in_time += results.in_time;
    sum.late += results.late;
    sum.refused += results.refused;
  }
  return sum;
}

}  // namespace sailgate::test
