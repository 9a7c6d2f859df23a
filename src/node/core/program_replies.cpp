#include "node/core/program_replies.hpp"

#include "base/refusal.hpp"

namespace sailgate::node {

wire::ProgramReply refusal_reply(wire::ErrorKind::type kind) {
  wire::ProgramReply reply;
  reply.__set_refusal(base::make_refusal(kind));
  return reply;
}

wire::ProgramReply redirect_reply(std::int64_t leader) {
  wire::Redirect redirect;
  redirect.leader = leader;
  wire::ProgramReply reply;
  reply.__set_redirect(redirect);
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

std::string describe_winner(const wire::Configuration& in_force) {
  auto text = "generation " + std::to_string(in_force.generation) + " is in force";
  if (in_force.bundles.empty()) return text;
  const auto& newest = in_force.bundles.back();
  return text + ", by version " + std::to_string(newest.version) + " of partner " + newest.partner;
}

}  // namespace sailgate::node
