/// @file Tracks the engine that ran the last turn of each line.
///
/// A line is a sequence of turns of a program in which each turn's prompt extends the previous one.
/// The engine that ran the last turn has that prompt cached; any other engine must prefill it,
/// which costs as much as the new input of several turns.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace sailgate::balancing {

/// LRU map: evicts the least recently used programs beyond its capacity. Deterministic, not
/// thread-safe.
class LinePlacements {
 public:
  explicit LinePlacements(std::size_t max_programs) : max_programs_(max_programs) {}

  /// Records that a turn of the line completed successfully at the engine.
  void note(const std::string& program, const std::string& line, const std::string& engine);
  /// Engine of the line's last turn. For a new line, engine of the program's last turn, because a
  /// sub-agent continues its parent's prompt. Empty if unknown.
  std::string find(const std::string& program, const std::string& line) const;
  std::size_t programs() const { return programs_.size(); }

 private:
  struct Program {
    std::unordered_map<std::string, std::string> engine_by_line;
    std::string last_engine;
    std::list<std::string>::iterator lru_position;
  };

  std::size_t max_programs_;
  std::unordered_map<std::string, Program> programs_;
  std::list<std::string> lru_;  ///< program names, most recently used first
};

}  // namespace sailgate::balancing
