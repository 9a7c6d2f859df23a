#include "serving/held_turns.hpp"

namespace sailgate::serving {

HeldTurns::Ticket HeldTurns::add(net::TimePoint deadline, std::size_t bytes) {
  const Ticket ticket{deadline, next_arrival_++};
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
  if (now >= batch_started_at_ + kStartBatchInterval) {
    batch_started_at_ = now;
    batch_starts_ = 0;
  }
  if (batch_starts_ >= kStartBatchSize) return false;
  ++batch_starts_;
  return true;
}

}  // namespace sailgate::serving
