/// @file Turns as rows of the table store.
#pragma once

#include <string>

#include "ledger/turn.hpp"
#include "ledger_types.h"

namespace sailgate::ledger {

/// Row of a turn: itself and as many predecessors as fit, the rest by reference to their own row.
wire::TurnRow encode_turn(const Turn& turn);

/// Puts the segments of a row behind `earlier`, the turn that the row names as earlier (nullptr when
/// it names none). @return the last one. @throws std::invalid_argument when the row has no segments.
TurnPointer decode_turn(const wire::TurnRow& row, TurnPointer earlier);

}  // namespace sailgate::ledger
