/// @file Applies the store's list of engines to the registry.
///
/// Processes other than engines can write to the list. An invalid entry suspends its engine until a
/// valid entry for the same key arrives; all other entries remain in effect.
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

/// Validates the entries of the engine list. Not thread-safe: use only on the event loop.
class EngineEntries {
 public:
  EngineEntries(NodeState& state, const PlatformRecords& records);

  /// Applies the complete list. @param may_reappear entries may be missing only because the store
  /// was unavailable, so their engines are kept as stale.
  void apply_snapshot(const std::vector<store::Row>& rows, bool may_reappear);
  /// Applies one changed or removed entry.
  void apply_change(const store::Row& row, bool may_reappear);

 private:
  /// Decodes an entry. @return nullopt if it is invalid; this is recorded and logged.
  std::optional<balancing::EngineRecord> read(const store::Row& row);
  void apply_removal(const store::Row& row, bool may_reappear);
  void mark_unusable(const store::Row& row, balancing::EntryFault fault, const char* what);
  void apply_record(const store::Row& row, balancing::EngineRecord record);
  /// Whether enough valid entries report their engine's start that one without is invalid.
  bool starts_reported() const;
  void log_restart(const balancing::Engine& before, const balancing::EngineRecord& now);
  void log_outdated(const balancing::EngineRecord& record, const std::string& newest);

  NodeState& state_;
  const PlatformRecords& records_;
  std::unordered_map<std::string, balancing::EntryFault> unusable_;  ///< by entry key
  std::unordered_map<std::string, bool> reports_start_;  ///< of decoded entries, by entry key
};

}  // namespace sailgate::serving
