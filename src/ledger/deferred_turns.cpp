#include "ledger/deferred_turns.hpp"

namespace sailgate::ledger {

namespace {

std::size_t size_of(const Turn& turn) {
  return turn.id.size() + turn.input.size() + turn.output.size();
}

}  // namespace

bool DeferredTurns::put(TurnPointer turn, Role role) {
  if (find(turn->id) != nullptr) return true;
  const auto size = size_of(*turn);
  if (bytes_ + size > byte_limit_) return false;
  bytes_ += size;
  auto& turns = role == Role::kOwner ? owned_ : copies_;
  const auto id = turn->id;
  turns.emplace(id, std::move(turn));
  return true;
}

void DeferredTurns::forget(const std::string& id) {
  for (auto* turns : {&owned_, &copies_}) {
    const auto entry = turns->find(id);
    if (entry == turns->end()) continue;
    bytes_ -= size_of(*entry->second);
    turns->erase(entry);
  }
}

TurnPointer DeferredTurns::find(const std::string& id) const {
  for (const auto* turns : {&owned_, &copies_}) {
    const auto entry = turns->find(id);
    if (entry != turns->end()) return entry->second;
  }
  return nullptr;
}

std::vector<TurnPointer> DeferredTurns::batch(Role role, std::size_t most_turns,
                                              std::size_t most_bytes) const {
  std::vector<TurnPointer> chosen;
  std::size_t bytes = 0;
  for (const auto& [id, turn] : of(role)) {
    bytes += size_of(*turn);
    if (!chosen.empty() && (bytes > most_bytes || chosen.size() == most_turns)) break;
    chosen.push_back(turn);
  }
  return chosen;
}

}  // namespace sailgate::ledger
