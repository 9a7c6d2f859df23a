#include "simulation/simulated_backend.hpp"

#include <algorithm>
#include <utility>

namespace sailgate::simulation {
namespace {

constexpr base::Millis kServiceTime = 40;
constexpr std::uint64_t kServiceSpread = 60;
constexpr std::uint64_t kLateDelay = 4000;
constexpr std::uint64_t kCrossPercent = 25;
constexpr std::int64_t kMinimumTokens = 50;

}  // namespace

SimulatedBackend::SimulatedBackend(EventQueue& events, Oracle& oracle,
                                   scheduling::Backend description, std::uint64_t seed)
    : events_(events), oracle_(oracle), description_(std::move(description)), random_(seed) {}

void SimulatedBackend::dispatch(const DispatchedCall& call, const Reply& reply) {
  if (fenced_.count(call.attempt) > 0) {
    api::DispatchResult refused;
    refused.kind = api::DispatchResult::Kind::kRefused;
    reply(refused);
    return;
  }
  oracle_.effect_started(call.program, call.sequence, call.request_key, description_.id,
                         events_.now());
  running_[call.request_key] = call.program;
  if (is_engine()) cached_.insert(call.program);
  const auto service = kServiceTime + static_cast<base::Millis>(random_.below(kServiceSpread));
  events_.after(service, [this, call, reply] { finish(call, reply); });
}

void SimulatedBackend::finish(const DispatchedCall& call, const Reply& reply) {
  if (cancelled_.count(call.attempt) > 0) return;
  running_.erase(call.request_key);
  api::DispatchResult result;
  result.kind = api::DispatchResult::Kind::kSucceeded;
  result.answered_attempt = call.attempt;
  const auto spread = std::max<std::int64_t>(call.token_ceiling - kMinimumTokens, 0);
  const auto extra = random_.below(static_cast<std::uint64_t>(spread) + 1);
  result.used_tokens =
      std::min(call.token_ceiling, kMinimumTokens + static_cast<std::int64_t>(extra));
  result.result = expected_result(call.program, call.sequence, call.request_key);
  finished_[call.request_key] = result.result;
  if (is_engine()) cached_.insert(call.program);
  oracle_.effect_finished(call.program, call.sequence, result.used_tokens);
  if (!disturbed_) {
    reply(result);
    return;
  }
  if (random_.chance(kCrossPercent)) {
    // This answer waits; the request gets an older stray one, if any.
    auto crossed = std::exchange(stray_, result);
    if (crossed) reply(*crossed);
    return;
  }
  const auto late = static_cast<base::Millis>(random_.below(kLateDelay));
  events_.after(late, [reply, result] { reply(result); });
}

void SimulatedBackend::evict(const std::string& program) {
  cached_.erase(program);
  evicted_.insert(program);
}

void SimulatedBackend::cancel(std::int64_t attempt) { cancelled_.insert(attempt); }

program::InquiryAnswer SimulatedBackend::inquire(const program::OutcomeInquiry& inquiry) {
  program::InquiryAnswer answer;
  answer.inquiry = inquiry;
  const auto done = finished_.find(inquiry.request_key);
  if (done != finished_.end()) {
    answer.verdict = program::InquiryAnswer::Verdict::kRan;
    answer.result = done->second;
  } else if (running_.count(inquiry.request_key) == 0) {
    answer.verdict = program::InquiryAnswer::Verdict::kNotRun;
    fenced_.insert(inquiry.attempt);
  }
  return answer;
}

void SimulatedBackend::leave(base::Millis tolerance) {
  leaving_ = true;
  oracle_.backend_leaving(description_.id, events_.now(), tolerance);
}

}  // namespace sailgate::simulation
