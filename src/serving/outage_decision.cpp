#include "serving/outage_decision.hpp"

#include <algorithm>

namespace sailgate::serving {

namespace {

/// The way to the caller and the last steps of a turn: what is planned to end so close to the
/// caller's bound may not.
constexpr net::Millis kDeadlineMargin{100};
/// A shorter wait helps nobody: the store's return is noticed later than that.
constexpr net::Millis kMinHold{50};
/// Callers heed a time to come back of up to this part of the time they have left.
constexpr int kMaxRetryDelayDivisor = 3;
/// A turn is held where the store is expected back within so many times its longest wait. Of
/// outages that have lasted some time about half end within as long again, and one in five within a
/// quarter of it: a program whose turns are held for such a chance outlives outages of three of its
/// tries. In virtual time, of 1,000 programs that met 7 s without the store 15 were lost (381
/// refused at once, 380 held for a chance of a half), and of 750 that met 4.5 s none (112; 11).
/// Held whatever
/// the chance, of 2,100 that met 18 s 988 were lost (1,486 so, 1,482 refused at once), and callers
/// waited 9,036 s for nothing (2,780 s so).
constexpr int kMaxOutageToHoldRatio = 4;
constexpr net::Millis kMinRetryDelay{50};

}  // namespace

net::Millis max_hold_time(const TurnInOutage& turn) {
  const auto for_first_event = turn.wait_left - turn.first_event;
  const auto for_completion = turn.time_left - turn.run_time;
  return std::max(net::Millis(0), std::min(for_first_event, for_completion) - kDeadlineMargin);
}

OutageDecision decide_in_outage(const TurnInOutage& turn) {
  if (turn.remaining_outage.count() == 0) return {OutageAction::kBegin, {}, "store_answers"};
  if (turn.run_time + kDeadlineMargin > turn.time_left)
    return {OutageAction::kRefuse, {}, "too_late"};
  const auto max_hold = max_hold_time(turn);
  if (max_hold < kMinHold) return {OutageAction::kRefuse, {}, "no_time_to_wait"};
  if (turn.remaining_outage > max_hold * kMaxOutageToHoldRatio)
    return {OutageAction::kRefuse, {}, "outage_too_long"};
  if (turn.held >= kMaxHeldTurns) return {OutageAction::kRefuse, {}, "too_many_held"};
  if (turn.held_bytes + turn.bytes > kMaxHeldBytes) {
    return {OutageAction::kRefuse, {}, "too_much_held"};
  }
  return {OutageAction::kHold, max_hold, "store_may_be_back"};
}

net::Millis retry_delay(net::Millis remaining_outage, net::Millis time_left, std::uint64_t draw) {
  const auto max_delay = std::max(time_left / kMaxRetryDelayDivisor, kMinRetryDelay);
  const auto delay = remaining_outage + remaining_outage * static_cast<std::int64_t>(draw) / 100;
  return std::clamp(delay, kMinRetryDelay, max_delay);
}

}  // namespace sailgate::serving
