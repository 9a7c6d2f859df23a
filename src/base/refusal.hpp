/// @file Refusals filled from the error table.
#pragma once

#include "sailgate_types.h"

namespace sailgate::base {

/// Refusal with what the error table says of execution and of coming back.
wire::Refusal make_refusal(wire::ErrorKind::type kind);
/// Same, where more or less is known about execution than the table says.
wire::Refusal make_refusal(wire::ErrorKind::type kind, wire::Ran::type ran);

}  // namespace sailgate::base
