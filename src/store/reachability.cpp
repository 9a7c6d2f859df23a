#include "store/reachability.hpp"

namespace sailgate::store {

namespace {

constexpr int kFailuresInARow = 4;
constexpr net::Millis kFailingTime{150};
/// Counts like one outage that was seen: what outages that outlast a few repeats last at least.
constexpr net::Millis kPresumedOutage{2000};

}  // namespace

void Reachability::note(bool answered, net::TimePoint now) {
  if (answered) {
    if (!answers(now)) note_return(now);
    failures_in_a_row_ = 0;
    answered_at_ = now;
    return;
  }
  if (failures_in_a_row_ == 0) failing_since_ = now;
  ++failures_in_a_row_;
}

bool Reachability::answers(net::TimePoint now) const {
  return failures_in_a_row_ < kFailuresInARow || now < failing_since_ + kFailingTime;
}

net::Millis Reachability::unanswered(net::TimePoint now) const {
  const auto since = answered_at_ == net::TimePoint{} ? failing_since_ : answered_at_;
  if (since == net::TimePoint{}) return net::Millis(0);
  return std::chrono::duration_cast<net::Millis>(now - since);
}

void Reachability::note_return(net::TimePoint now) {
  ++outages_;
  outage_time_ += std::chrono::duration_cast<net::Millis>(now - failing_since_);
}

net::Millis Reachability::expected_outage(net::TimePoint now) const {
  if (answers(now)) return net::Millis(0);
  const auto age = std::chrono::duration_cast<net::Millis>(now - failing_since_);
  const auto usual = (kPresumedOutage + outage_time_) / (1 + outages_);
  return age < usual ? usual - age : age;
}

}  // namespace sailgate::store
