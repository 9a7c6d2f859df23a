/// @file Steps of one call at a gateway, apart from any I/O.
///
///  1. Admit: have it decided on the program's rows. Without a reply, ask again with the same
///  nonce, so that
///     a grant that was lost on the way is handed out again, never twice.
///  2. Dispatch: send the one granted attempt to its back end, once.
///  3. Complete: report how it ended until that is stored.
///  4. Answer: the end of the answer is given only after the commit. What is said about execution
///     follows from what this gateway did: nothing dispatched is "not run".
#pragma once

#include <cstdint>
#include <string>

#include "base/time.hpp"
#include "sailgate_types.h"

namespace sailgate::api {

/// How a dispatch ended, as the back-end adapter saw it.
struct DispatchResult {
  enum class Kind {
    kSucceeded,  ///< a whole answer that names the attempt
    kFailed,     ///< an error answer of the back end; it may have run
    kUnsent,     ///< proved not to have reached the back end
    kRefused,    ///< the back end said it did not take it
    kLost,       ///< sent, and no whole answer
  };
  Kind kind = Kind::kLost;
  std::int64_t answered_attempt = 0;  ///< attempt id in the answer; 0 without answer
  std::int64_t used_tokens = 0;
  std::string result;
  bool backend_leaving = false;  ///< the refusal said that the back end is leaving
};

/// What the shell must do next.
struct FlowStep {
  enum class Kind { kAdmit, kDispatch, kComplete, kLookUp, kAnswer };
  Kind kind = Kind::kAnswer;
  base::Millis wait = 0;         ///< before doing it
  wire::ProgramRequest request;  ///< kAdmit, kComplete, kLookUp
  wire::Grant grant;             ///< kDispatch
  wire::ProgramReply answer;     ///< kAnswer: an outcome or a refusal
};

/// Rules a proof may replace.
class FlowRules {
 public:
  FlowRules() = default;
  FlowRules(const FlowRules&) = delete;
  FlowRules& operator=(const FlowRules&) = delete;
  virtual ~FlowRules() = default;

  /// An answer counts only if it names the attempt it is for.
  virtual bool answer_matches(std::int64_t attempt, const DispatchResult& result) const;
  /// The answer may leave only after its ending is stored.
  virtual bool wait_for_commit() const;
  /// What is known about execution when a dispatch was lost.
  virtual wire::Outcome::type outcome_of_loss() const;
};

/// Whether a grant may still be acted on. A process that was paused between receiving a grant and
/// dispatching must not act on what it knew before.
/// @param age time since the grant arrived, on the monotonic clock.
/// @param backend_leaving this node knows by now that the back end is leaving.
bool grant_is_fresh(base::Millis age, bool backend_leaving);

/// State machine of one call. Not thread-safe.
class CallFlow {
 public:
  /// @param give_up_at time at which the caller gets a final answer in any case.
  /// @param first_send the caller states that no copy of this request was sent before; only then
  /// may "not run" be said while the store is silent.
  CallFlow(const FlowRules& rules, wire::AdmitCall admit, base::Millis give_up_at, bool first_send);

  /// First step.
  FlowStep start();
  /// The request of the last step was replied to, or no node could be reached (`reply` empty).
  FlowStep on_reply(const wire::ProgramReply& reply, base::Millis now);
  /// The dispatch of the last step ended.
  FlowStep on_dispatched(const DispatchResult& result);

 private:
  FlowStep admit_again(base::Millis now);
  FlowStep on_admit_reply(const wire::ProgramReply& reply, base::Millis now);
  FlowStep on_complete_reply(const wire::ProgramReply& reply, base::Millis now);
  FlowStep on_look_up_reply(const wire::ProgramReply& reply, base::Millis now);
  FlowStep look_up(base::Millis wait) const;
  FlowStep complete(base::Millis wait);
  FlowStep answer(wire::ProgramReply reply) const;
  wire::Ran::type unsent_ran() const;
  FlowStep refuse(wire::ErrorKind::type kind, wire::Ran::type ran) const;

  const FlowRules& rules_;
  wire::AdmitCall admit_;
  base::Millis give_up_at_;
  bool first_send_;
  FlowStep::Kind waiting_for_ = FlowStep::Kind::kAdmit;
  wire::Grant grant_;
  wire::AttemptEnded ended_;
};

}  // namespace sailgate::api
