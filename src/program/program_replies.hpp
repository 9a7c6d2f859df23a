/// @file Replies to program requests.
#pragma once

#include <string>

#include "sailgate_types.h"

namespace sailgate::program {

wire::ProgramReply refusal_reply(wire::ErrorKind::type kind);
wire::ProgramReply outcome_reply(const wire::CallOutcome& outcome);
wire::ProgramReply accepted_reply(const std::string& program);
/// Refuses a call. Once it had an attempt, "not run" is not said any more.
wire::ProgramReply call_refusal(wire::ErrorKind::type kind, const wire::CallRecord* call);

}  // namespace sailgate::program
