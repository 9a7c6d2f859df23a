/// @file The table from error kind to the answer a caller gets.
#pragma once

#include "base/time.hpp"
#include "sailgate_types.h"

namespace sailgate::base {

/// How the Retry-After value of a refusal is chosen.
enum class RetryRule {
  kNever,      ///< coming back does not help
  kFixed,      ///< ErrorAnswer::retry_after
  kFromState,  ///< computed by the refusing module; ErrorAnswer::retry_after is the fallback
};

/// Answer for one error kind.
struct ErrorAnswer {
  wire::ErrorKind::type kind;
  const char* name;  ///< stable identifier in caller answers and metrics
  int http_status;
  wire::Ran::type ran;  ///< default; an answer may replace it when more is known
  RetryRule retry_rule;
  Millis retry_after;
  const char* text;  ///< one sentence for people
};

/// Returns the row for `kind`; an unlisted value yields the row of kInternal.
const ErrorAnswer& error_answer(wire::ErrorKind::type kind);

}  // namespace sailgate::base
