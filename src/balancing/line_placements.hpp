/// @file Which engine the last turn of each line of turns ran at.
///
/// A turn's prompt holds all of its line before it, which is cached at the engine that ran the last
/// turn. Anywhere else it is read anew, at the cost of several turns' own input.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace sailgate::balancing {

/// Bounded: the programs that were used longest ago are forgotten first. Deterministic, not
/// thread-safe.
class LinePlacements {
 public:
  explicit LinePlacements(std::size_t most_programs) : most_programs_(most_programs) {}

  /// A turn of the line ended well at the engine.
  void note(const std::string& program, const std::string& line, const std::string& engine);
  /// Engine of the line's last turn, or of the program's last turn when the line has none: a
  /// sub-agent goes on from its parent's prompt. Empty: not known.
  std::string find(const std::string& program, const std::string& line) const;
  std::size_t programs() const { return programs_.size(); }

 private:
  struct Program {
    std::unordered_map<std::string, std::string> engine_by_line;
    std::string last_engine;
    std::list<std::string>::iterator use;
  };

  std::size_t most_programs_;
  std::unordered_map<std::string, Program> programs_;
  std::list<std::string> by_use_;  ///< programs, those used last first
};

}  // namespace sailgate::balancing
