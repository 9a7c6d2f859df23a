/// @file Simple model of what callers were told and what back ends did, checked against the
/// promises of the brief. It knows nothing of how sailgate works.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "sailgate_types.h"

namespace sailgate::simulation {

/// Result every back end gives for a call, so that a mixed-up answer is visible.
std::string expected_result(const std::string& program, std::int32_t sequence,
                            const std::string& request_key);

/// Collects violations; empty means that all promises held so far. Not thread-safe.
class Oracle {
 public:
  // What callers did and were told.
  void program_opened(const std::string& program, std::int64_t budget);
  void call_sent(const std::string& program, std::int32_t sequence, const std::string& key,
                 bool repeatable);
  /// One copy of a request was given up by the caller without an answer; it may still run.
  void copy_abandoned(const std::string& key);
  void outcome_told(const std::string& program, std::int32_t sequence, const std::string& key,
                    const wire::CallOutcome& outcome);
  void refusal_told(const std::string& key, const wire::Refusal& refusal);
  /// A program was read; `told_before` is the number of outcomes told when the read was sent.
  void program_read(const wire::ProgramView& view, std::size_t told_before);
  std::size_t outcomes_told(const std::string& program) const;

  // Configuration.
  /// An operator was told that a bundle is in force.
  void configuration_accepted(const std::string& bundle, std::int64_t generation);
  /// A node took a caller's work while it held this generation.
  void served_under(const std::string& host, std::int64_t generation);
  /// A node took over a generation; a restarted node begins anew.
  void generation_held(const std::string& host, std::int64_t generation);
  void node_restarted(const std::string& host) { held_generations_.erase(host); }

  /// A node ended its planned stop with this many callers' requests unanswered.
  void node_stopped(const std::string& host, std::size_t unanswered);

  // What back ends did.
  void effect_started(const std::string& program, std::int32_t sequence, const std::string& key,
                      const std::string& backend, base::Millis now);
  void effect_finished(const std::string& program, std::int32_t sequence, std::int64_t tokens);
  /// A back end announced that it leaves; new work is tolerated for `tolerance` more.
  void backend_leaving(const std::string& backend, base::Millis now, base::Millis tolerance);

  // At the end, after everything healed.
  void memory_held(const std::string& program, const std::string& backend);
  void program_unfinished(const std::string& program, const std::string& why);

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t calls_told() const { return calls_told_; }

 private:
  struct Call {
    std::string program;
    std::int32_t sequence = 0;
    bool repeatable = true;
    int effects = 0;
    int finished = 0;
    bool told_not_run = false;
    bool copies_abandoned = false;
    std::string told_result;
    bool told = false;
  };
  struct Program {
    std::int64_t budget = 0;
    std::int64_t used = 0;
    std::map<std::int32_t, std::string> told;  ///< sequence -> key
    std::set<std::int32_t> finished;           ///< sequences with a finished effect
  };

  void violation(const std::string& promise, const std::string& what);

  std::map<std::string, Call> calls_;
  std::map<std::string, Program> programs_;
  std::map<std::string, base::Millis> no_work_after_;
  std::int64_t accepted_generation_ = 0;
  std::map<std::int64_t, std::string> accepted_bundles_;
  std::map<std::string, std::int64_t> held_generations_;
  std::vector<std::string> violations_;
  std::size_t calls_told_ = 0;
};

}  // namespace sailgate::simulation
