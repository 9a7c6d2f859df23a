/// @file A finished turn and its predecessors.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace sailgate::ledger {

struct Turn;
using TurnPointer = std::shared_ptr<const Turn>;

/// Immutable; turns that continue from the same predecessor share it.
struct Turn {
  std::string id;  ///< text form of a tenancy::StateKey
  std::string input;
  std::string output;    ///< data of all events, each followed by a line feed
  TurnPointer previous;  ///< nullptr for the first turn of a chain
  /// Time of the store's clock at which this turn's row expires; 0 if unknown. Increases when the
  /// row is rewritten.
  mutable std::int64_t row_expires_at = 0;
};

/// Returns the engine's prompt for a turn with `input` that continues from `previous`.
std::string assemble_prompt(const TurnPointer& previous, const std::string& input);

}  // namespace sailgate::ledger
