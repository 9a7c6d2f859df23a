/// @file Cache of recent turns, so that the next turn of a chain usually needs no read from the
/// store.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "ledger/turn.hpp"
#include "net/asio.hpp"

namespace sailgate::ledger {

/// Limited by size in bytes; evicts the oldest entries first. Not thread-safe.
class TurnCache {
 public:
  explicit TurnCache(std::size_t byte_limit) : byte_limit_(byte_limit) {}

  void put(const TurnPointer& turn);
  /// @return nullptr if the turn is not cached.
  TurnPointer find(const std::string& id) const;
  std::size_t bytes() const { return bytes_; }

 private:
  void evict_oldest();

  std::size_t byte_limit_;
  std::size_t bytes_ = 0;
  std::unordered_map<std::string, TurnPointer> by_id_;
  std::deque<std::string> order_;
};

}  // namespace sailgate::ledger
