#include "admission/admission_fleet.hpp"

#include <numeric>

#include "admission/load_bounds.hpp"

namespace sailgate::test {

AdmissionFleet::AdmissionFleet(Way way, net::Millis news_age, std::uint64_t seed)
    : way_(way), news_age_(news_age), random_(seed), requests_of_(kNodes) {
  for (int node = 0; node < kNodes; ++node) nodes_.emplace_back(random_.fraction());
}

void AdmissionFleet::send(const Rates& rates, net::Millis time) {
  for (const auto end = now_ + time; now_ < end;) {
    step();
    for (const auto& [kind, rate] : rates) {
      auto& due = due_[kind];
      // Twice the rate half of the time by chance: callers do not come evenly.
      if (random_.chance(50)) due += 2 * rate * kTick.count() / 1000.0;
      for (; due >= 1; --due) send_at_once(kind, 1);
    }
  }
}

void AdmissionFleet::send_at_once(const CallerKind& kind, int callers) {
  for (int caller = 0; caller < callers; ++caller) {
    ++got_[kind].asked;
    Program program;
    program.kind = kind;
    program.asked_at = now_;
    ask(program);
  }
}

void AdmissionFleet::step() {
  now_ += kTick;
  end_turns();
  while (!returns_.empty() && returns_.begin()->first <= now_) {
    ask(returns_.extract(returns_.begin()).mapped());
  }
  fill_slots();
  exchange_news();
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
      --requests_of_[program.node];
      auto& got = got_[program.kind];
      ++(now_ - program.asked_at <= kDue ? got.in_time : got.late);
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

void AdmissionFleet::exchange_news() {
  News news{now_, requests_of_, {}};
  for (auto& node : nodes_) news.told.push_back(node.told(now_));
  news_.push_back(std::move(news));
  while (news_.front().at + news_age_ < now_) news_.pop_front();
  const auto& heard = news_.front();
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    admission::BegunByTenant others;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other == node) continue;
      for (const auto& [tenant, count] : heard.told[other]) others[tenant] += count;
    }
    nodes_[node].hear(std::move(others), nodes_.size(), now_);
  }
}

int AdmissionFleet::known_requests(std::size_t node) const {
  if (news_.empty()) return requests_of_[node];
  const auto& told = news_.front().requests;
  return std::accumulate(told.begin(), told.end(), requests_of_[node] - told[node]);
}

std::optional<net::Millis> AdmissionFleet::hold(std::size_t node, const Program& program) {
  admission::ServiceLoad service;
  service.slots = slots_;
  service.load = double(known_requests(node)) / slots_;
  if (way_ == Way::kBoundOnly) {
    if (admission::may_begin(service.load, program.kind.rank)) return std::nullopt;
    return net::Millis(800 + random_.below(400));
  }
  admission::ProgramRequest request;
  request.rank = program.kind.rank;
  request.tenant = program.kind.tenant;
  request.time_left = std::chrono::duration_cast<net::Millis>(program.asked_at + kDeadline - now_);
  if (nodes_[node].admit(service, request, now_).admitted()) return std::nullopt;
  return nodes_[node].return_time("service", request, now_);
}

void AdmissionFleet::ask(Program program) {
  program.node = random_.below(kNodes);
  const auto wait = hold(program.node, program);
  if (!wait) {
    ++requests_of_[program.node];
    waiting_.push_back(program);
    return;
  }
  if (requests() < slots_) ++refused_with_free_slots_;
  refuse(program, *wait);
}

void AdmissionFleet::refuse(Program program, net::Millis wait) {
  if (program.came_back) {
    ++got_[program.kind].refused;
    return;
  }
  program.came_back = true;
  returns_.emplace(now_ + wait, program);
}

Got AdmissionFleet::got(const CallerKind& kind) const {
  const auto got = got_.find(kind);
  return got == got_.end() ? Got() : got->second;
}

Got AdmissionFleet::got_of_all() const {
  Got sum;
  for (const auto& [kind, got] : got_) {
    sum.asked += got.asked;
    sum.in_time += got.in_time;
    sum.late += got.late;
    sum.refused += got.refused;
  }
  return sum;
}

}  // namespace sailgate::test
