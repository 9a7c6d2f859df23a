/// @file Finished turns that wait in memory until the table store takes them.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "ledger/turn.hpp"

namespace sailgate::ledger {

/// Bounded by bytes. Deterministic, not thread-safe.
class DeferredTurns {
 public:
  enum class Role {
    kOwner,  ///< this node answered the turn: it writes it first
    kCopy,   ///< kept for another node, in case that one is lost
  };

  explicit DeferredTurns(std::size_t byte_limit) : byte_limit_(byte_limit) {}

  /// @return false when there is no room.
  bool put(TurnPointer turn, Role role);
  /// The store has the turn.
  void forget(const std::string& id);
  /// @return nullptr when the turn does not wait here.
  TurnPointer find(const std::string& id) const;
  /// Turns of a role, at most `most_turns` and about `most_bytes`, but one at least if there is any.
  std::vector<TurnPointer> batch(Role role, std::size_t most_turns, std::size_t most_bytes) const;
  std::size_t count(Role role) const { return of(role).size(); }
  std::size_t size() const { return owned_.size() + copies_.size(); }

 private:
  using Turns = std::map<std::string, TurnPointer>;

  const Turns& of(Role role) const { return role == Role::kOwner ? owned_ : copies_; }

  std::size_t byte_limit_;
  std::size_t bytes_ = 0;
  Turns owned_;
  Turns copies_;
};

}  // namespace sailgate::ledger
