#include "serving/outage_decision.hpp"

#include <algorithm>

namespace sailgate::serving {

namespace {

/// The way to the caller and the last steps of a turn: what is planned to end so close to the
/// caller's bound may not.
constexpr net::Millis kMargin{100};
/// A shorter wait helps nobody: the store's return is noticed later than that.
constexpr net::Millis kShortestHold{50};
/// Callers heed a time to come back of up to this part of the time they have left.
constexpr int kReturnShare = 3;
/// A turn is held where the store is expected back within so many times its longest wait. Of
/// outages that have lasted some time about half end within as long again, and one in five within a
/// quarter of it: a program whose turns are held for such a chance outlives outages of three of its
/// tries. In virtual time, of 1,000 programs that met 7 s without the store 15 were lost (381
/// refused at once, 380 held for a chance of a half), and of 750 that met 4.5 s none (112; 11).
/// Held whatever
/// the chance, of 2,100 that met 18 s 988 were lost (1,486 so, 1,482 refused at once), and callers
/// waited 9,036 s for nothing (2,780 s so).
constexpr int kRestsForOneWait = 4;
constexpr net::Millis kShortestReturn{50};

}  // namespace

net::Millis longest_wait(const TurnInOutage& turn) {
  const auto for_first_event = turn.wait_left - turn.first_event;
  const auto for_end = turn.time_left - turn.run_time;
  return std::max(net::Millis(0), std::min(for_first_event, for_end) - kMargin);
}

OutageDecision decide_in_outage(const TurnInOutage& turn) {
  if (turn.expected_rest.count() == 0) return {OutageStep::kBegin, {}, "store_answers"};
  if (turn.run_time + kMargin > turn.time_left) return {OutageStep::kRefuse, {}, "too_late"};
  const auto longest = longest_wait(turn);
  if (longest < kShortestHold) return {OutageStep::kRefuse, {}, "no_time_to_wait"};
  if (turn.expected_rest > longest * kRestsForOneWait)
    return {OutageStep::kRefuse, {}, "outage_too_long"};
  if (turn.held >= kMostHeld) return {OutageStep::kRefuse, {}, "too_many_held"};
  if (turn.held_bytes + turn.bytes > kMostHeldBytes) {
    return {OutageStep::kRefuse, {}, "too_much_held"};
  }
  return {OutageStep::kHold, longest, "store_may_be_back"};
}

net::Millis return_time(net::Millis expected_rest, net::Millis time_left, std::uint64_t draw) {
  const auto longest = std::max(time_left / kReturnShare, kShortestReturn);
  const auto spread = expected_rest + expected_rest * static_cast<std::int64_t>(draw) / 100;
  return std::clamp(spread, kShortestReturn, longest);
}

}  // namespace sailgate::serving
