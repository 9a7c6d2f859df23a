/// @file Decides whether a turn that arrives while the store is unavailable is held or refused.
///
/// Intended for outages of a few seconds. Each refusal costs the caller one of its few attempts: a
/// program whose attempts are all refused immediately fails after three to four seconds, while one
/// whose turns are held survives an outage of twice that length. Holding is useless if the store is
/// not expected back before the caller disconnects; such a turn is refused immediately.
#pragma once

#include <cstddef>

#include "net/asio.hpp"

namespace sailgate::serving {

/// A turn that cannot be made durable now, and the state of its caller, the node and the store.
struct TurnInOutage {
  net::Millis remaining_outage{0};  ///< until the store is expected back; 0: it is available
  net::Millis run_time{0};          ///< duration that most recent turns stay within
  net::Millis first_event{0};       ///< time to first event that most recent turns stay within
  net::Millis time_left{0};         ///< until the caller's deadline
  net::Millis wait_left{0};         ///< until the caller disconnects if it gets no event
  std::size_t held = 0;             ///< turns held on this node
  std::size_t held_bytes = 0;       ///< total size of their requests
  std::size_t bytes = 0;            ///< size of this request
};

enum class OutageAction {
  kBegin,   ///< start now: the store is available
  kHold,    ///< hold until the store is available, at most for OutageDecision::longest
  kRefuse,  ///< refuse immediately
};

struct OutageDecision {
  OutageAction action = OutageAction::kRefuse;
  net::Millis longest{0};  ///< maximum hold time
  const char* why = "";    ///< reason, for logs
};

/// Maximum number of turns held on a node. Each occupies a connection and some timers.
inline constexpr std::size_t kMaxHeldTurns = 128;
/// Maximum total size of held requests: a small part of the 88 MB of memory of the smallest nodes.
inline constexpr std::size_t kMaxHeldBytes = std::size_t{4} << 20U;

/// Longest time for which the turn can be held such that its first event and its end are still in
/// time for the caller. Does not depend on the store.
net::Millis max_hold_time(const TurnInOutage& turn);

OutageDecision decide_in_outage(const TurnInOutage& turn);

/// Retry-After delay for a refused turn.
/// @param draw random percentage of the remaining outage that is added as jitter, so that callers
/// refused together do not retry together.
net::Millis retry_delay(net::Millis remaining_outage, net::Millis time_left, std::uint64_t draw);

}  // namespace sailgate::serving
