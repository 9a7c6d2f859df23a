#include "balancing/line_placements.hpp"

namespace sailgate::balancing {

void LinePlacements::note(const std::string& program, const std::string& line,
                          const std::string& engine) {
  const auto [entry, added] = programs_.try_emplace(program);
  if (added) {
    by_use_.push_front(program);
    entry->second.use = by_use_.begin();
  } else {
    by_use_.splice(by_use_.begin(), by_use_, entry->second.use);
  }
  entry->second.engine_by_line[line] = engine;
  entry->second.last_engine = engine;
  if (programs_.size() <= most_programs_) return;
  programs_.erase(by_use_.back());
  by_use_.pop_back();
}

std::string LinePlacements::find(const std::string& program, const std::string& line) const {
  const auto entry = programs_.find(program);
  if (entry == programs_.end()) return {};
  const auto placed = entry->second.engine_by_line.find(line);
  return placed == entry->second.engine_by_line.end() ? entry->second.last_engine : placed->second;
}

}  // namespace sailgate::balancing
