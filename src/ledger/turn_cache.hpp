/// @file Turns this node has seen lately, so that the next turn of a line needs no read.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "ledger/turn.hpp"
#include "net/asio.hpp"

namespace sailgate::ledger {

/// Bounded by bytes, oldest first out. Not thread-safe.
class TurnCache {
 public:
  explicit TurnCache(std::size_t byte_limit) : byte_limit_(byte_limit) {}

  void put(const TurnPointer& turn);
  /// @return nullptr when the turn is not cached.
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
