/// @file Turns as rows of the table store.
#pragma once

#include <string>

#include "ledger/turn.hpp"
#include "ledger_types.h"

namespace sailgate::ledger {

/// Row of a turn: itself and as many predecessors as fit, the rest by reference to their own row.
wire::TurnRow encode_turn(const Turn& turn);

/// The predecessor whose own row a turn's row refers to; nullptr when its row holds the whole
/// chain.
TurnPointer first_outside_row(const Turn& turn);

/// Row of a turn with its whole chain, for messages between nodes.
wire::TurnRow encode_whole_chain(const Turn& turn);

}  // namespace sailgate::ledger
