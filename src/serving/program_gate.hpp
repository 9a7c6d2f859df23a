/// @file Admission control for new programs while the engines of their service are overloaded.
#pragma once

#include <optional>

#include "serving/call.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

/// Decides on a request of a program, and logs a refusal with the figures behind it.
/// @param begins whether it may be the first request of its program; later ones are never refused.
/// @return Retry-After delay if the request is refused, nullopt if it is admitted.
std::optional<net::Millis> check_program_admission(NodeState& state, const Call& call, bool begins);

}  // namespace sailgate::serving
