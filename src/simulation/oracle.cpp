#include "simulation/oracle.hpp"

#include <algorithm>

namespace sailgate::simulation {

std::string expected_result(const std::string& program, std::int32_t sequence,
                            const std::string& request_key) {
  return "answer to " + request_key + " of " + program + " call " + std::to_string(sequence);
}

void Oracle::violation(const std::string& promise, const std::string& what) {
  violations_.push_back(promise + ": " + what);
}

// ---------------------------------------------------------------- callers

void Oracle::program_opened(const std::string& program, std::int64_t budget) {
  programs_[program].budget = budget;
}

void Oracle::call_sent(const std::string& program, std::int32_t sequence, const std::string& key,
                       bool repeatable) {
  auto& call = calls_[key];
  call.program = program;
  call.sequence = sequence;
  call.repeatable = repeatable;
  call.told_not_run = false;
}

void Oracle::copy_abandoned(const std::string& key) { calls_[key].copies_abandoned = true; }

void Oracle::outcome_told(const std::string& program, std::int32_t sequence, const std::string& key,
                          const wire::CallOutcome& outcome) {
  auto& call = calls_[key];
  ++calls_told_;
  if (outcome.outcome == wire::Outcome::kSucceeded) {
    if (outcome.result != expected_result(program, sequence, key)) {
      violation("answer", key + " got '" + outcome.result + "'");
    }
    if (call.finished == 0) violation("answer", key + " was told an answer no back end gave");
  }
  if (call.told && call.told_result != outcome.result) {
    violation("answer", key + " was told two different answers");
  }
  call.told = true;
  call.told_result = outcome.result;
  programs_[program].told[sequence] = key;
}

void Oracle::refusal_told(const std::string& key, const wire::Refusal& refusal) {
  if (refusal.ran != wire::Ran::kNotRun) return;
  auto& call = calls_[key];
  if (call.effects > 0) violation("not run", key + " was told it did not run, but it had run");
  call.told_not_run = true;
}

std::size_t Oracle::outcomes_told(const std::string& program) const {
  const auto found = programs_.find(program);
  return found == programs_.end() ? 0 : found->second.told.size();
}

void Oracle::program_read(const wire::ProgramView& view, std::size_t told_before) {
  const auto& program = programs_[view.program];
  if (view.history.size() < told_before) {
    violation("history", view.program + " lost turns: " + std::to_string(view.history.size()) +
                             " of " + std::to_string(told_before));
  }
  std::int32_t previous = 0;
  for (const auto& turn : view.history) {
    if (turn.sequence <= previous) violation("order", view.program + " history out of order");
    previous = turn.sequence;
    const auto told = program.told.find(turn.sequence);
    const bool foreign = told != program.told.end() && told->second != turn.request_key;
    if (foreign) violation("history", view.program + " holds a foreign turn " + turn.request_key);
    const auto expected = expected_result(view.program, turn.sequence, turn.request_key);
    const bool mixed = !turn.result.empty() && turn.result != expected;
    if (mixed) violation("history", view.program + " holds a foreign answer '" + turn.result + "'");
  }
  if (view.settled_tokens + view.reserved_tokens > program.budget) {
    violation("budget", view.program + " has promised more than its budget");
  }
}

// ---------------------------------------------------------------- configuration

void Oracle::configuration_accepted(const std::string& bundle, std::int64_t generation) {
  const auto [found, fresh] = accepted_bundles_.emplace(generation, bundle);
  if (!fresh && found->second != bundle) {
    violation("configuration", bundle + " and " + found->second + " were both accepted as " +
                                   std::to_string(generation));
  }
  accepted_generation_ = std::max(accepted_generation_, generation);
}

void Oracle::served_under(const std::string& host, std::int64_t generation) {
  if (generation >= accepted_generation_) return;
  violation("configuration", host + " served under " + std::to_string(generation) + " after " +
                                 std::to_string(accepted_generation_) + " was accepted");
}

void Oracle::generation_held(const std::string& host, std::int64_t generation) {
  auto& held = held_generations_[host];
  if (generation < held) violation("configuration", host + " went back to an older generation");
  held = generation;
}

void Oracle::node_stopped(const std::string& host, std::size_t unanswered) {
  if (unanswered == 0) return;
  violation("planned stop", host + " cut " + std::to_string(unanswered) + " requests");
}

// ---------------------------------------------------------------- back ends

void Oracle::effect_started(const std::string& program, std::int32_t sequence,
                            const std::string& key, const std::string& backend, base::Millis now) {
  auto& call = calls_[key];
  ++call.effects;
  if (!call.repeatable && call.effects > 1) violation("at most once", key + " ran twice");
  // A copy the caller gave up may arrive later; without one, "not run" must stay true.
  if (call.told_not_run && !call.copies_abandoned) {
    violation("not run", key + " ran after it was told that it had not");
  }
  const auto& finished = programs_[program].finished;
  const bool first_effect = call.effects == 1;
  if (first_effect && sequence > 1 && finished.count(sequence - 1) == 0) {
    violation("order", key + " started before the call before it had finished");
  }
  const auto limit = no_work_after_.find(backend);
  if (limit != no_work_after_.end() && now > limit->second) {
    violation("leaving", backend + " got new work " + std::to_string(now - limit->second) +
                             " ms after the tolerance");
  }
}

void Oracle::effect_finished(const std::string& program, std::int32_t sequence,
                             std::int64_t tokens) {
  auto& record = programs_[program];
  record.finished.insert(sequence);
  record.used += tokens;
  if (record.used > record.budget) {
    violation("budget", program + " used " + std::to_string(record.used) + " of " +
                            std::to_string(record.budget));
  }
  for (auto& [key, call] : calls_) {
    if (call.program == program && call.sequence == sequence) ++call.finished;
  }
}

void Oracle::backend_leaving(const std::string& backend, base::Millis now, base::Millis tolerance) {
  no_work_after_.emplace(backend, now + tolerance);
}

// ---------------------------------------------------------------- end

void Oracle::memory_held(const std::string& program, const std::string& backend) {
  violation("memory", backend + " still holds cache of the ended program " + program);
}

void Oracle::program_unfinished(const std::string& program, const std::string& why) {
  violation("progress", program + " did not finish: " + why);
}

}  // namespace sailgate::simulation
