/// @file The checks that keep a program's promises, apart from the state they guard.
///
/// They form an interface so that a proof can replace one check by a broken one and show that
/// the oracle notices (docs/PROOFS.md).
#pragma once

#include "sailgate_types.h"

namespace sailgate::program {

/// Rules applied when a family changes. Must be pure.
class ProgramRules {
 public:
  ProgramRules() = default;
  ProgramRules(const ProgramRules&) = delete;
  ProgramRules& operator=(const ProgramRules&) = delete;
  virtual ~ProgramRules() = default;

  /// Order: a call may be admitted only as the next one, after the one before has ended.
  virtual bool sequence_is_next(const wire::ProgramRecord& record, std::int32_t sequence) const;

  /// Budget: settled and reserved tokens together never exceed the program's budget.
  virtual bool reservation_fits(const wire::ProgramRecord& record, std::int64_t tokens) const;

  /// At most once: whether a call whose attempt was lost may get another one.
  virtual bool may_attempt_again(const wire::CallRecord& call) const;

  /// At most once: no second attempt of a call that may not be repeated.
  virtual bool attempt_permitted(const wire::CallRecord& call) const;

  /// Identity: an ending counts only for the attempt that runs (or whose outcome is unknown).
  virtual bool ending_matches(const wire::CallRecord& call, const wire::AttemptEnded& ended) const;

  /// Cache: an ended program owes an eviction to every engine it used.
  virtual bool eviction_owed(const wire::ProgramRecord& record, const std::string& backend) const;
};

}  // namespace sailgate::program
