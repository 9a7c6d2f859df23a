#include "balancing/line_placements.hpp"

namespace sailgate::balancing {

void LinePlacements::note(const std::string& program, const std::string& line,
                          const std::string& engine) {
  const auto [entry, added] = programs_.try_emplace(program);
  if (added) {
    lru_.push_front(program);
    entry->second.lru_position = lru_.begin();
  } else {
    lru_.splice(lru_.begin(), lru_, entry->second.lru_position);
  }
  entry->second.engine_by_line[line] = engine;
  entry->second.last_engine = engine;
  if (programs_.size() <= max_programs_) return;
  programs_.erase(lru_.back());
  lru_.pop_back();
}

std::string LinePlacements::find(const std::string& program, const std::string& line) const {
  const auto entry = programs_.find(program);
  if (entry == programs_.end()) return {};
  const auto placed = entry->second.engine_by_line.find(line);
  return placed == entry->second.engine_by_line.end() ? entry->second.last_engine : placed->second;
}

}  // namespace sailgate::balancing
