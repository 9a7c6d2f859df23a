/// @file Takes the store's list of engines into the registry.
///
/// Others than engines may write into the list. An entry that names no engine to use takes its
/// engine out of use until a usable one comes; all other entries hold.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancing/unusable_entry.hpp"
#include "serving/node_state.hpp"
#include "serving/platform_records.hpp"
#include "store/table_store.hpp"

namespace sailgate::serving {

/// Not thread-safe: belongs to the event loop.
class EngineEntries {
 public:
  EngineEntries(NodeState& state, const PlatformRecords& records);

  /// Takes the whole list. @param may_return entries that are gone may be so only because the store
  /// was away.
  void apply_snapshot(const std::vector<store::Row>& rows, bool may_reappear);
  /// Takes one entry, changed or gone.
  void apply_change(const store::Row& row, bool may_reappear);

 private:
  std::optional<balancing::EngineRecord> read(const store::Row& row);
  void apply_removal(const store::Row& row, bool may_reappear);
  void mark_unusable(const store::Row& row, balancing::EntryFault fault, const char* what);
  void mark_usable(const store::Row& row, const balancing::EngineRecord& record);
  bool starts_reported() const;
  void log_restart(const balancing::Engine& before, const balancing::EngineRecord& now);

  NodeState& state_;
  const PlatformRecords& records_;
  std::unordered_map<std::string, balancing::EntryFault> unusable_;  ///< by the entry's key
  std::unordered_map<std::string, bool> reports_start_;  ///< of readable entries, by their key
};

}  // namespace sailgate::serving
