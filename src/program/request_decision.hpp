/// @file Decides program requests on the state of a family. No I/O.
#pragma once

#include <string>

#include "base/random.hpp"
#include "program/family_state.hpp"
#include "scheduling/backend_choice.hpp"

namespace sailgate::program {

/// What a decision may look at besides the family.
struct DecisionContext {
  const scheduling::BackendChooser& chooser;
  const scheduling::BackendDirectory& backends;
  const std::string& zone;
  base::Random& random;
  base::Millis now_unix = 0;
};

/// Changes `state` as the request asks for. The reply holds once the changes are stored; deciding a
/// request again on a state that has its changes gives the same reply.
wire::ProgramReply decide(FamilyState& state, const wire::ProgramRequest& request,
                          const DecisionContext& context);

/// Root program whose family a request is about.
std::string family_of(const wire::ProgramRequest& request);

}  // namespace sailgate::program
