/// @file Evaluates program requests against the state of a family. Performs no I/O.
#pragma once

#include <string>

#include "base/random.hpp"
#include "program/family_state.hpp"
#include "scheduling/backend_choice.hpp"

namespace sailgate::program {

/// Inputs of a decision other than the family's state.
struct DecisionContext {
  const scheduling::BackendChooser& chooser;
  const scheduling::BackendDirectory& backends;
  const std::string& zone;
  base::Random& random;
  base::Millis now_unix = 0;
};

/// Applies the request to `state`. The reply is valid only after the changes have been stored.
/// Evaluating the same request again on a state that contains its changes gives the same reply.
wire::ProgramReply decide(FamilyState& state, const wire::ProgramRequest& request,
                          const DecisionContext& context);

/// Returns the id of the family that a request refers to.
std::string family_of(const wire::ProgramRequest& request);

}  // namespace sailgate::program
