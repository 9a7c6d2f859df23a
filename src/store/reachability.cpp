#include "store/reachability.hpp"

namespace sailgate::store {

namespace {

constexpr int kFailuresInARow = 4;
constexpr net::Millis kFailingTime{150};

}  // namespace

void Reachability::note(bool answered, net::TimePoint now) {
  if (answered) {
    failures_in_a_row_ = 0;
    return;
  }
  if (failures_in_a_row_ == 0) failing_since_ = now;
  ++failures_in_a_row_;
}

bool Reachability::answers(net::TimePoint now) const {
  return failures_in_a_row_ < kFailuresInARow || now < failing_since_ + kFailingTime;
}

}  // namespace sailgate::store
