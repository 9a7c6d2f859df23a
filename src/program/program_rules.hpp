/// @file Checks that enforce the guarantees given to programs, separate from the state they
/// protect.
///
/// They are virtual so that a fault-injection test can replace one check by a broken one and show
/// that the test oracle detects the violation (docs/PROOFS.md).
#pragma once

#include "sailgate_types.h"

namespace sailgate::program {

/// Rules applied to every change of a family. Implementations must be pure functions.
class ProgramRules {
 public:
  ProgramRules() = default;
  ProgramRules(const ProgramRules&) = delete;
  ProgramRules& operator=(const ProgramRules&) = delete;
  virtual ~ProgramRules() = default;

  /// Ordering: a call may be admitted only with the next sequence number and after the previous
  /// call has finished.
  virtual bool sequence_is_next(const wire::ProgramRecord& record, std::int32_t sequence) const;

  /// Budget: the sum of settled and reserved tokens never exceeds the program's budget.
  virtual bool reservation_fits(const wire::ProgramRecord& record, std::int64_t tokens) const;

  /// At-most-once execution: whether a call may be attempted again after an attempt with an unknown
  /// outcome.
  virtual bool may_attempt_again(const wire::CallRecord& call) const;

  /// At-most-once execution: whether an attempt may start now. A call that is not repeatable gets
  /// no second attempt.
  virtual bool attempt_permitted(const wire::CallRecord& call) const;

  /// Identity: an outcome is accepted only for the current attempt, while it is running or its
  /// outcome is unknown.
  virtual bool ending_matches(const wire::CallRecord& call, const wire::AttemptEnded& ended) const;

  /// Cache: whether an engine that the program used must evict its prefix; true once the program
  /// has ended.
  virtual bool eviction_owed(const wire::ProgramRecord& record, const std::string& backend) const;
};

}  // namespace sailgate::program
