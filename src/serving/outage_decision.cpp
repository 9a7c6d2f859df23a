#include "serving/outage_decision.hpp"

#include <algorithm>

namespace sailgate::serving {

namespace {

/// Safety margin for network latency to the caller and the final steps of a turn. A turn planned to
/// end right at the caller's limit may miss it.
constexpr net::Millis kDeadlineMargin{100};
/// Shorter holds are useless, since the return of the store is detected later than that.
constexpr net::Millis kMinHold{50};
/// Callers follow a Retry-After delay only up to this fraction (1/n) of their remaining time.
constexpr int kMaxRetryDelayDivisor = 3;
/// A turn is held if the expected remaining outage is at most this multiple of its maximum hold
/// time. About half of the outages that have lasted some time end within the same time again, and
/// one in five within a quarter of it. Holding turns for this chance lets a program survive outages
/// as long as three of its attempts.
///
/// Programs lost in a simulation in virtual time:
/// - 7 s outage, 1,000 programs: 15; 381 if all turns are refused; 380 with a ratio of 1.
/// - 4.5 s outage, 750 programs: none; 112 if all turns are refused; 11 with a ratio of 1.
/// - 18 s outage, 2,100 programs: 1,486; 1,482 if all turns are refused; 988 if all are held.
/// In the last case, holding all turns raised the total time that callers waited in vain from
/// 2,780 s to 9,036 s.
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
