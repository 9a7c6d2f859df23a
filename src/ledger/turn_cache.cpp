#include "ledger/turn_cache.hpp"

namespace sailgate::ledger {

namespace {

/// Estimated memory use of an entry in addition to its texts.
constexpr std::size_t kEntryOverheadBytes = 256;

std::size_t footprint(const Turn& turn) {
  return turn.input.size() + turn.output.size() + kEntryOverheadBytes;
}

}  // namespace

void TurnCache::put(const TurnPointer& turn) {
  const auto [entry, added] = by_id_.emplace(turn->id, turn);
  if (!added) return;
  bytes_ += footprint(*turn);
  order_.push_back(turn->id);
  while (bytes_ > byte_limit_ && order_.size() > 1) evict_oldest();
}

TurnPointer TurnCache::find(const std::string& id) const {
  const auto entry = by_id_.find(id);
  return entry == by_id_.end() ? nullptr : entry->second;
}

void TurnCache::evict_oldest() {
  const auto entry = by_id_.find(order_.front());
  order_.pop_front();
  if (entry == by_id_.end()) return;
  bytes_ -= footprint(*entry->second);
  by_id_.erase(entry);
}

}  // namespace sailgate::ledger
