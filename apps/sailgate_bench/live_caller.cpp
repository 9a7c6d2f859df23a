#include "live_caller.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

#include "stopwatch.hpp"

namespace sailgate::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kMostTries = 120;
constexpr std::int64_t kBudget = 10'000;
constexpr std::int64_t kTokens = 64;
constexpr std::int64_t kDeadline = 6000;
constexpr std::int64_t kRetryMillis = 150;

}  // namespace

void LiveLedger::violation(const std::string& what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  violations_.push_back(what);
}

void LiveLedger::answered(const std::string& kind, double milliseconds) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++answers_[kind];
  longest_ = std::max(longest_, milliseconds);
}

void LiveLedger::non_repeatable(const std::string& key, bool ran) {
  const std::lock_guard<std::mutex> lock(mutex_);
  keys_[key] = ran;
}

std::size_t LiveLedger::calls_answered() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = answers_.find("outcome");
  return found == answers_.end() ? 0 : found->second;
}

double LiveLedger::longest() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return longest_;
}

std::vector<std::string> LiveLedger::violations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return violations_;
}

std::map<std::string, std::size_t> LiveLedger::answers_by_kind() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return answers_;
}

std::map<std::string, bool> LiveLedger::keys() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return keys_;
}

LiveCaller::LiveCaller(LocalDeployment& deployment, LiveLedger& ledger, std::uint64_t seed)
    : deployment_(deployment), ledger_(ledger), client_(http_, "federation"), random_(seed) {}

std::string LiveCaller::node() {
  return deployment_.node_address(random_() % deployment_.node_count());
}

void LiveCaller::pause_after(const CallerAnswer& answer) const {
  const auto pause = std::max(answer.retry_after_ms, kRetryMillis);
  std::this_thread::sleep_for(std::chrono::milliseconds(pause));
}

void LiveCaller::run_program(const std::string& name, int calls) {
  const auto program = open(name);
  if (program.empty()) return;
  for (int sequence = 1; sequence <= calls; ++sequence) {
    if (!call(program, sequence)) return;
  }
  read(program, calls);
  end(program);
  ledger_.finished();
}

std::string LiveCaller::open(const std::string& name) {
  for (int attempt = 0; attempt < kMostTries; ++attempt) {
    const auto answer = client_.open(node(), name, "season-plan", kBudget);
    if (answer.status == 201) return answer.program;
    pause_after(answer);
  }
  ledger_.violation("progress: " + name + " could not be opened");
  return {};
}

bool LiveCaller::call(const std::string& program, int sequence) {
  const bool application = sequence % 2 == 0;
  CallDescription description;
  description.sequence = sequence;
  description.key = program + "-" + std::to_string(sequence);
  description.repeatable = !application;
  description.stream = !application;
  description.deadline_ms = kDeadline;
  description.target = application ? application_target("book")
                                   : engine_target("Plan step " + description.key, kTokens);
  const auto start = Clock::now();
  for (int attempt = 0; attempt < kMostTries; ++attempt) {
    description.first_send = attempt == 0;
    const auto answer = client_.call(node(), program, description);
    const bool outcome = answer.answered && answer.kind.empty();
    ledger_.answered(outcome           ? "outcome"
                     : answer.answered ? answer.kind
                                       : "no answer",
                     millis_since(start));
    if (outcome) {
      // Every back end names the request in its answer.
      if (answer.result.find(description.key) == std::string::npos) {
        ledger_.violation("answer: " + description.key + " got " + answer.result);
      }
      if (application) ledger_.non_repeatable(description.key, true);
      return true;
    }
    const bool lost = answer.kind == "unknown_program" || answer.kind == "wrong_sequence" ||
                      answer.kind == "key_reused" || answer.kind == "program_ended";
    if (lost) {
      ledger_.violation("history: " + description.key + " was refused with " + answer.kind);
      return false;
    }
    pause_after(answer);
  }
  if (application) ledger_.non_repeatable(description.key, false);
  ledger_.violation("progress: " + description.key + " got no outcome");
  return false;
}

void LiveCaller::read(const std::string& program, int turns) {
  for (int attempt = 0; attempt < kMostTries; ++attempt) {
    const auto answer = client_.read(node(), program);
    if (answer.status != 200) {
      pause_after(answer);
      continue;
    }
    const auto& history = answer.body.at("history").as_array();
    if (history.size() != static_cast<std::size_t>(turns)) {
      ledger_.violation("history: " + program + " has " + std::to_string(history.size()) + " of " +
                        std::to_string(turns) + " turns");
    }
    for (const auto& turn : history) {
      const auto key = turn.at("key").as_string();
      const bool own = key.rfind(program, 0) == 0 &&
                       turn.at("result").as_string().find(key) != std::string::npos;
      if (own) continue;
      auto foreign = "history: " + program;
      foreign.append(" holds a foreign turn ").append(key);
      ledger_.violation(foreign);
    }
    return;
  }
  ledger_.violation("progress: " + program + " cannot be read");
}

void LiveCaller::end(const std::string& program) {
  for (int attempt = 0; attempt < kMostTries; ++attempt) {
    const auto answer = client_.end(node(), program);
    if (answer.status == 200) return;
    pause_after(answer);
  }
  ledger_.violation("progress: " + program + " cannot be ended");
}

}  // namespace sailgate::bench
