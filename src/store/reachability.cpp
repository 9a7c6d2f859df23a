#include "store/reachability.hpp"

namespace sailgate::store {

namespace {

constexpr int kMinConsecutiveFailures = 4;
constexpr net::Millis kMinFailureDuration{150};
/// Prior for the mean outage duration, weighted like one observed outage: the minimum duration of
/// outages that outlast a few retries.
constexpr net::Millis kPriorOutage{2000};

}  // namespace

void Reachability::note(bool answered, net::TimePoint now) {
  if (answered) {
    if (!answers(now)) record_outage_end(now);
    consecutive_failures_ = 0;
    answered_at_ = now;
    return;
  }
  if (consecutive_failures_ == 0) failing_since_ = now;
  ++consecutive_failures_;
}

bool Reachability::answers(net::TimePoint now) const {
  return consecutive_failures_ < kMinConsecutiveFailures ||
         now < failing_since_ + kMinFailureDuration;
}

net::Millis Reachability::unanswered(net::TimePoint now) const {
  const auto since = answered_at_ == net::TimePoint{} ? failing_since_ : answered_at_;
  if (since == net::TimePoint{}) return net::Millis(0);
  return std::chrono::duration_cast<net::Millis>(now - since);
}

void Reachability::record_outage_end(net::TimePoint now) {
  ++ended_outages_;
  total_outage_time_ += std::chrono::duration_cast<net::Millis>(now - failing_since_);
}

net::Millis Reachability::expected_outage(net::TimePoint now) const {
  if (answers(now)) return net::Millis(0);
  const auto age = std::chrono::duration_cast<net::Millis>(now - failing_since_);
  const auto mean_duration = (kPriorOutage + total_outage_time_) / (1 + ended_outages_);
  return age < mean_duration ? mean_duration - age : age;
}

}  // namespace sailgate::store
