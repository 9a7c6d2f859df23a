#include "simulation/simulated_caller.hpp"

#include <algorithm>
#include <utility>

#include "base/digest.hpp"
#include "base/error_table.hpp"
#include "simulation/simulated_cluster.hpp"

namespace sailgate::simulation {
namespace {

constexpr base::Millis kCallerPatience = 9000;
constexpr base::Millis kGatewayPatience = 7000;
constexpr base::Millis kShortDeadline = 200;
constexpr base::Millis kAttemptDeadline = 3000;
constexpr base::Millis kRetryPause = 300;
constexpr std::uint64_t kApplicationPercent = 40;
/// Share of calls during which the next one is sent too early.
constexpr std::uint64_t kEarlyPercent = 10;
constexpr const char* kTenant = "federation";

}  // namespace

SimulatedCaller::SimulatedCaller(SimulatedCluster& cluster, std::string program,
                                 ProgramScript script, std::uint64_t seed)
    : cluster_(cluster), program_(std::move(program)), script_(script), random_(seed) {}

void SimulatedCaller::start() {
  cluster_.oracle().program_opened(program_, script_.budget);
  open();
}

void SimulatedCaller::open() {
  standing_ = "opening";
  wire::OpenProgram request;
  request.program.program = program_;
  request.program.tenant = kTenant;
  request.program.kind = "season-plan";
  request.program.budget_tokens = script_.budget;
  request.program.call_limit = script_.calls + 1;
  wire::ProgramRequest body;
  body.__set_open_program(request);
  const auto copy = ++awaited_;
  cluster_.ask(body, kGatewayPatience, [this, copy](const auto& reply) {
    if (copy != awaited_) return;
    ++awaited_;
    if (reply.__isset.accepted) {
      next_call();
    } else {
      cluster_.events().after(kRetryPause, [this] { open(); });
    }
  });
  cluster_.events().after(kCallerPatience, [this, copy] {
    if (copy == awaited_ && sequence_ == 0) open();
  });
}

void SimulatedCaller::next_call() {
  ++sequence_;
  ++awaited_;
  if (sequence_ > script_.calls) {
    end();
    return;
  }
  key_ = key_of(sequence_);
  send_call(!early_sent_);
  early_sent_ = false;
  if (sequence_ < script_.calls && random_.chance(kEarlyPercent)) send_early();
}

std::string SimulatedCaller::key_of(std::int32_t sequence) const {
  return program_ + "/" + std::to_string(sequence);
}

/// Whether a call goes to an application engine and may not be repeated.
bool SimulatedCaller::is_application(const std::string& key) {
  const auto digest = static_cast<std::uint64_t>(base::fast_digest(key));
  return digest % 100 < kApplicationPercent;
}

/// Sends the next call while this one runs, as a faulty client would, and does not wait for it.
void SimulatedCaller::send_early() {
  early_sent_ = true;
  const auto next = sequence_ + 1;
  const auto key = key_of(next);
  cluster_.oracle().call_sent(program_, next, key, !is_application(key));
  cluster_.oracle().copy_abandoned(key);
  cluster_.call(make_call(next), true, kGatewayPatience, [](const auto&) {});
}

wire::AdmitCall SimulatedCaller::make_call(std::int32_t sequence) const {
  const auto key = key_of(sequence);
  const bool application = is_application(key);
  wire::AdmitCall admit;
  admit.call.program = program_;
  admit.call.sequence = sequence;
  admit.call.request_key = key;
  admit.call.request_body = "request " + key;
  admit.call.request_digest = base::fast_digest(admit.call.request_body);
  admit.call.target_kind = application ? wire::TargetKind::kApplication : wire::TargetKind::kEngine;
  admit.call.target = application ? "book" : "model";
  admit.call.repeatable = !application;
  admit.call.reserved_tokens = application ? 0 : script_.tokens_per_call;
  // Short deadlines make other nodes give attempts up whose ends are still on their way.
  const bool hurried = base::fast_digest(key) % 2 == 0;
  admit.deadline_in_ms = hurried ? kShortDeadline : kAttemptDeadline;
  admit.tenant = kTenant;
  return admit;
}

void SimulatedCaller::send_call(bool first_send) {
  standing_ = "call " + std::to_string(sequence_);
  cluster_.oracle().call_sent(program_, sequence_, key_, !is_application(key_));
  const auto copy = ++awaited_;
  cluster_.call(make_call(sequence_), first_send, kGatewayPatience,
                [this, copy](const auto& reply) {
                  if (copy == awaited_) on_call_reply(reply);
                });
  cluster_.events().after(kCallerPatience, [this, copy] {
    if (copy != awaited_) return;
    cluster_.oracle().copy_abandoned(key_);
    send_call(false);
  });
}

void SimulatedCaller::on_call_reply(const wire::ProgramReply& reply) {
  ++awaited_;
  if (reply.__isset.outcome) {
    cluster_.oracle().outcome_told(program_, sequence_, key_, reply.outcome);
    if (random_.chance(50)) {
      read();
    } else {
      next_call();
    }
    return;
  }
  if (reply.__isset.refusal) {
    on_call_refused(reply.refusal);
    return;
  }
  cluster_.events().after(kRetryPause, [this] { send_call(false); });
}

void SimulatedCaller::on_call_refused(const wire::Refusal& refusal) {
  using Kind = wire::ErrorKind;
  cluster_.oracle().refusal_told(key_, refusal);
  standing_ = std::string("call refused: ") + base::error_answer(refusal.kind).name;
  switch (refusal.kind) {
    case Kind::kBudgetExceeded:
      end();
      return;
    case Kind::kUnknownProgram:
    case Kind::kWrongSequence:
    case Kind::kProgramEnded:
    case Kind::kKeyReused:
      cluster_.oracle().program_unfinished(program_, standing_ + " of " + key_ + "\n");
      finished_ = true;
      return;
    default:
      break;
  }
  const auto pause = std::max(refusal.retry_after_ms, kRetryPause);
  cluster_.events().after(pause, [this] { send_call(false); });
}

void SimulatedCaller::read() {
  const auto told = cluster_.oracle().outcomes_told(program_);
  wire::ReadProgram request;
  request.program = program_;
  request.tenant = kTenant;
  wire::ProgramRequest body;
  body.__set_read_program(request);
  const auto copy = ++awaited_;
  cluster_.ask(body, kGatewayPatience, [this, copy, told](const auto& reply) {
    if (reply.__isset.view) cluster_.oracle().program_read(reply.view, told);
    if (copy == awaited_) next_call();
  });
  cluster_.events().after(kCallerPatience, [this, copy] {
    if (copy == awaited_) next_call();
  });
}

void SimulatedCaller::end() {
  standing_ = "ending";
  wire::EndProgram request;
  request.closed.program = program_;
  request.closed.reason = "done";
  request.tenant = kTenant;
  wire::ProgramRequest body;
  body.__set_end_program(request);
  const auto copy = ++awaited_;
  cluster_.ask(body, kGatewayPatience, [this, copy](const auto& reply) {
    if (copy != awaited_ || finished_) return;
    ++awaited_;
    if (reply.__isset.accepted) {
      finished_ = true;
    } else {
      cluster_.events().after(kRetryPause, [this] { end(); });
    }
  });
  cluster_.events().after(kCallerPatience, [this, copy] {
    if (copy == awaited_ && !finished_) end();
  });
}

}  // namespace sailgate::simulation
