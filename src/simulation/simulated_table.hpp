/// @file Table service on virtual time: down, slow, refusing single machines, answers lost, writes
/// done late.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "base/random.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/in_memory_rows.hpp"
#include "store/table_store.hpp"

namespace sailgate::simulation {

enum class TableMode { kUp, kDown, kRefuses, kSlow, kLosesAnswers, kLate };

/// Rows with versions, conditions and ranges. Not thread-safe.
class SimulatedTable {
 public:
  using Reply = std::function<void(const store::StoreResult&)>;

  SimulatedTable(EventQueue& events, std::uint64_t seed) : events_(events), random_(seed) {}

  void set_mode(TableMode mode) { mode_ = mode; }
  /// Calls of this machine are refused, or get no answer, until heal().
  void refuse(const std::string& host) { refused_.insert(host); }
  void cut(const std::string& host) { cut_.insert(host); }
  void heal();

  /// Carries a call out and replies, unless the faults forbid either.
  void transact(const std::string& host, const store::Transaction& transaction, const Reply& reply);
  void read(const std::string& host, const store::RangeRead& range, const Reply& reply);

  std::uint64_t calls() const { return calls_; }
  /// Rows there are now.
  std::size_t rows() const { return rows_.size(); }

 private:
  using Work = std::function<store::StoreResult()>;

  void carry_out(const std::string& host, bool writes, const Work& work, const Reply& reply);

  EventQueue& events_;
  base::Random random_;
  TableMode mode_ = TableMode::kUp;
  std::set<std::string> refused_;
  std::set<std::string> cut_;
  InMemoryRows rows_;
  std::uint64_t calls_ = 0;
};

}  // namespace sailgate::simulation
