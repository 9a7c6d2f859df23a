/// @file Programs that may not begin while the engines of their service are short.
#pragma once

#include <optional>

#include "serving/call.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Decides on a request that may be the first of its program, and logs a refusal with what it was
/// made from.
/// @return time to come back when it is refused; nullopt: it may go on.
std::optional<net::Millis> hold_program(NodeState& state, const Call& call);

}  // namespace sailgate::serving
