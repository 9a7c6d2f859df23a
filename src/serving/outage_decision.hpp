/// @file What becomes of a turn that reaches a node while the store is away.
///
/// Answers outages of some seconds. A turn that is refused costs its caller one of a few tries: a
/// program that is refused at once, each time, is lost after three to four seconds, and one that
/// waits at the node outlives an outage of twice that. Waiting helps nobody where the store is not
/// expected back before the caller leaves: such a turn is refused at once.
#pragma once

#include <cstddef>

#include "net/asio.hpp"

namespace sailgate::serving {

/// A turn that cannot become durable now, and what is known of its caller and of the store.
struct TurnInOutage {
  net::Millis remaining_outage{0};  ///< until the store is expected back; 0: it answers
  net::Millis run_time{0};          ///< of turns lately, most of them
  net::Millis first_event{0};       ///< until turns give their first event lately, most of them
  net::Millis time_left{0};         ///< until the caller's deadline
  net::Millis wait_left{0};         ///< until the caller leaves a stream without an event
  std::size_t held = 0;             ///< turns that wait at this node, and their bytes
  std::size_t held_bytes = 0;
  std::size_t bytes = 0;  ///< of this turn
};

enum class OutageAction {
  kBegin,   ///< now: the store answers
  kHold,    ///< until the store is back, at most for OutageDecision::longest
  kRefuse,  ///< at once
};

struct OutageDecision {
  OutageAction action = OutageAction::kRefuse;
  net::Millis longest{0};
  const char* why = "";
};

/// Turns that a node holds at most: each keeps a connection and some timers.
inline constexpr std::size_t kMaxHeldTurns = 128;
/// Bytes of requests that a node holds at most: a small part of the smallest nodes' 88 MB.
inline constexpr std::size_t kMaxHeldBytes = std::size_t{4} << 20U;

/// How long a turn could still wait and end in time, whatever the store does.
net::Millis max_hold_time(const TurnInOutage& turn);

OutageDecision decide_in_outage(const TurnInOutage& turn);

/// Time to come back for a turn that is refused.
/// @param remaining_outage of the outage. @param draw in parts of a hundred: callers that are
/// refused together come back spread over that part of the rest.
net::Millis retry_delay(net::Millis remaining_outage, net::Millis time_left, std::uint64_t draw);

}  // namespace sailgate::serving
