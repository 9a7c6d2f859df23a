/// @file A finished turn and what came before it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace sailgate::ledger {

struct Turn;
using TurnPointer = std::shared_ptr<const Turn>;

/// Immutable; turns that go on from the same one share it.
struct Turn {
  std::string id;  ///< text of its tenancy::StateKey
  std::string input;
  std::string output;    ///< data of each event, each followed by a line feed
  TurnPointer previous;  ///< nullptr at the start of a chain
  /// When the turn's own row in the store expires, by the store's clock; 0: not known. Grows when
  /// the row is written again.
  mutable std::int64_t row_expires_at = 0;
};

/// What an engine is to read for a turn that goes on from `previous` with `input`.
std::string assemble_prompt(const TurnPointer& previous, const std::string& input);

}  // namespace sailgate::ledger
