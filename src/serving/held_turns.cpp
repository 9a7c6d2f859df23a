#include "serving/held_turns.hpp"

namespace sailgate::serving {

HeldTurns::Ticket HeldTurns::add(net::TimePoint deadline, std::size_t bytes) {
  const Ticket ticket{deadline, arrivals_++};
  held_[ticket] = bytes;
  bytes_ += bytes;
  return ticket;
}

void HeldTurns::remove(const Ticket& ticket) {
  const auto held = held_.find(ticket);
  if (held == held_.end()) return;
  bytes_ -= held->second;
  held_.erase(held);
}

bool HeldTurns::may_begin(const Ticket& ticket, net::TimePoint now) {
  if (held_.empty() || held_.begin()->first != ticket) return false;
  if (now >= pause_began_ + kBeginPause) {
    pause_began_ = now;
    begun_ = 0;
  }
  if (begun_ >= kBeginTogether) return false;
  ++begun_;
  return true;
}

}  // namespace sailgate::serving
