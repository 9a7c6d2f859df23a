/// @file Builders of replies to program requests.
#pragma once

#include <cstdint>
#include <string>

#include "sailgate_types.h"

namespace sailgate::node {

/// Refusal with everything from the error table.
wire::ProgramReply refusal_reply(wire::ErrorKind::type kind);
/// Refusal of a call; after an attempt "not run" can no longer be said. @param call may be nullptr.
wire::ProgramReply call_refusal(wire::ErrorKind::type kind, const wire::CallRecord* call);
/// The slot is led by another member, or by none that is known (0).
wire::ProgramReply redirect_reply(std::int64_t leader);
wire::ProgramReply outcome_reply(const wire::CallOutcome& outcome);
wire::ProgramReply accepted_reply(const std::string& program);
/// Tells an operator whose bundle lost the race what is in force now.
std::string describe_winner(const wire::Configuration& in_force);

}  // namespace sailgate::node
