/// @file Turns as rows of the table store.
#pragma once

#include <cstdint>

#include "ledger/turn.hpp"
#include "ledger_types.h"

namespace sailgate::ledger {

/// Row of a turn: its own text and the ids of the nearest predecessors.
///
/// Each text is kept once. Rows that repeated up to 16 KB of their chain filled a store of 400 MB
/// in 82 s under 415 turns a second (14.3 KB of first input, 4.6 turns a program; test
/// store_space_test and a day of 92 s without faults), after which no turn could be kept.
/// @param expires_at when the row expires, by the store's clock; 0: not known.
wire::TurnRow encode_turn(const Turn& turn, std::int64_t expires_at);

/// Row of a turn with its whole chain, for messages between nodes.
wire::TurnRow encode_chain(const Turn& turn);

}  // namespace sailgate::ledger
