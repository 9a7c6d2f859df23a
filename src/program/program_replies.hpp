/// @file Construction of replies to program requests.
#pragma once

#include <string>

#include "sailgate_types.h"

namespace sailgate::program {

wire::ProgramReply refusal_reply(wire::ErrorKind::type kind);
wire::ProgramReply outcome_reply(const wire::CallOutcome& outcome);
wire::ProgramReply accepted_reply(const std::string& program);
/// Refuses a call. If an attempt of it was started, the reply does not claim that the call did not
/// run, but reports this as unknown.
/// @param call the stored call, or nullptr if it was not admitted.
wire::ProgramReply call_refusal(wire::ErrorKind::type kind, const wire::CallRecord* call);

}  // namespace sailgate::program
