#include "program/program_replies.hpp"

#include "base/refusal.hpp"

namespace sailgate::program {

wire::ProgramReply refusal_reply(wire::ErrorKind::type kind) {
  wire::ProgramReply reply;
  reply.__set_refusal(base::make_refusal(kind));
  return reply;
}

wire::ProgramReply call_refusal(wire::ErrorKind::type kind, const wire::CallRecord* call) {
  auto reply = refusal_reply(kind);
  if (call != nullptr && call->attempts > 0) reply.refusal.ran = wire::Ran::kUnknown;
  return reply;
}

wire::ProgramReply outcome_reply(const wire::CallOutcome& outcome) {
  wire::ProgramReply reply;
  reply.__set_outcome(outcome);
  return reply;
}

wire::ProgramReply accepted_reply(const std::string& program) {
  wire::Accepted accepted;
  accepted.program = program;
  wire::ProgramReply reply;
  reply.__set_accepted(accepted);
  return reply;
}

}  // namespace sailgate::program
