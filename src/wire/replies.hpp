/// @file Questions about replies to program requests.
#pragma once

#include "sailgate_types.h"

namespace sailgate::wire {

/// Whether a reply decides its request: it is neither empty (nobody answered) nor a redirect.
inline bool is_decisive(const ProgramReply& reply) {
  return reply.__isset.accepted || reply.__isset.grant || reply.__isset.outcome ||
         reply.__isset.refusal || reply.__isset.view || reply.__isset.configuration_lease;
}

}  // namespace sailgate::wire
