/// @file Questions about replies to program requests.
#pragma once

#include "sailgate_types.h"

namespace sailgate::wire {

/// Whether a reply decides its request: it is not empty (nobody could tell in time).
inline bool is_decisive(const ProgramReply& reply) {
  return reply.__isset.accepted || reply.__isset.grant || reply.__isset.outcome ||
         reply.__isset.refusal || reply.__isset.view;
}

}  // namespace sailgate::wire
