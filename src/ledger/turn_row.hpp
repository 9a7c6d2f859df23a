/// @file Conversion of turns to rows of the table store.
#pragma once

#include <cstdint>

#include "ledger/turn.hpp"
#include "ledger_types.h"

namespace sailgate::ledger {

/// Returns the row of a turn: its own texts and the IDs of its nearest ancestors.
///
/// Each text is stored only once. When rows repeated up to 16 KB of their chain, a store of 400 MB
/// was full after 82 s at 415 turns per second (14.3 KB of first input, 4.6 turns per program;
/// reproduced by store_space_test and in a 92 s run without faults), and no more turns could be
/// stored.
/// @param expires_at time of the store's clock at which the row expires; 0 if unknown.
wire::TurnRow encode_turn(const Turn& turn, std::int64_t expires_at);

/// Returns a row that contains a turn and its whole chain, for messages between nodes.
wire::TurnRow encode_chain(const Turn& turn);

}  // namespace sailgate::ledger
