/// @file Table service with the failures of the brief: down, slow, answers lost after the write.
#pragma once

#include <functional>
#include <map>

#include "base/random.hpp"
#include "node/core/node_actions.hpp"
#include "simulation/event_queue.hpp"

namespace sailgate::simulation {

enum class TableMode { kUp, kDown, kSlow, kLosesAnswers };

/// Rows with versions and compare-and-set. Not thread-safe.
class SimulatedTable {
 public:
  using Reply = std::function<void(const node::TableAnswer&)>;

  SimulatedTable(EventQueue& events, std::uint64_t seed) : events_(events), random_(seed) {}

  void set_mode(TableMode mode) { mode_ = mode; }

  /// Carries a command out and replies, unless the mode forbids either.
  void execute(const node::TableCommand& command, const Reply& reply) {
    if (mode_ == TableMode::kDown) return;
    base::Millis delay = kDelay;
    if (mode_ == TableMode::kSlow) delay += static_cast<base::Millis>(random_.below(kSlowDelay));
    events_.after(delay, [this, command, reply] {
      const auto answer = apply(command);
      const bool lost = mode_ == TableMode::kLosesAnswers && random_.chance(kLossPercent);
      if (!lost) events_.after(kDelay, [reply, answer] { reply(answer); });
    });
  }

 private:
  static constexpr base::Millis kDelay = 5;
  static constexpr std::uint64_t kSlowDelay = 8000;
  static constexpr std::uint64_t kLossPercent = 60;

  struct Row {
    std::int64_t version = 0;
    wire::SlotRow value;
  };

  node::TableAnswer apply(const node::TableCommand& command) {
    node::TableAnswer answer;
    answer.slot = command.slot;
    answer.write = command.write;
    const auto found = rows_.find(command.slot);
    const std::int64_t version = found == rows_.end() ? 0 : found->second.version;
    if (command.write && version != command.expected_version) {
      answer.status = node::TableStatus::kConflict;
      return answer;
    }
    if (command.write) rows_[command.slot] = Row{version + 1, command.row};
    if (!command.write && version == 0) {
      answer.status = node::TableStatus::kAbsent;
      return answer;
    }
    answer.status = node::TableStatus::kFound;
    answer.version = rows_[command.slot].version;
    answer.row = rows_[command.slot].value;
    return answer;
  }

  EventQueue& events_;
  base::Random random_;
  TableMode mode_ = TableMode::kUp;
  std::map<std::int32_t, Row> rows_;
};

}  // namespace sailgate::simulation
