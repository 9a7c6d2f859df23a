/// @file Programs that may not begin while the engines of their service are short.
#pragma once

#include <optional>

#include "serving/call.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Decides on a program's request, and logs a refusal with what it was made from.
/// @param begins whether it may be the first of its program; others are never refused.
/// @return time to come back when it is refused; nullopt: it may go on.
std::optional<net::Millis> check_program_admission(NodeState& state, const Call& call, bool begins);

}  // namespace sailgate::serving
