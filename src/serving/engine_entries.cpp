#include "serving/engine_entries.hpp"

#include <algorithm>

namespace sailgate::serving {

namespace {

using balancing::EntryFault;

/// If at least this share of the decoded entries reports the start of its engine, an entry without
/// one was not written by an engine and is invalid. Requiring only one reporting entry would be too
/// few: its writer would take all engines of an older platform version out of use. Requiring all
/// would be too many: a single entry without a start would disable the check. During a rolling
/// upgrade of the engines, at most a quarter of them is out of use.
constexpr double kMinReportingShare = 0.75;

}  // namespace

EngineEntries::EngineEntries(NodeState& state, const PlatformRecords& records)
    : state_(state), records_(records) {
  state_.engines.on_restart(
      [this](const auto& before, const auto& now) { log_restart(before, now); });
  state_.engines.on_outdated(
      [this](const auto& record, const auto& newest) { log_outdated(record, newest); });
}

void EngineEntries::log_outdated(const balancing::EngineRecord& record, const std::string& newest) {
  state_.metrics.engine_entry_outdated();
  state_.log.event("engine_entry_outdated")
      .with("engine", record.entry_key())
      .with("run", record.id)
      .with("newest_run", newest)
      .with("draining", static_cast<int>(record.draining));
}

void EngineEntries::log_restart(const balancing::Engine& before,
                                const balancing::EngineRecord& now) {
  state_.metrics.engine_restarted();
  state_.log.event("engine_restarted")
      .with("engine", now.entry_key())
      .with("run", now.id)
      .with("run_before", before.record.id)
      .with("in_flight", before.in_flight)
      .with("was_draining", static_cast<int>(before.record.draining));
}

bool EngineEntries::starts_reported() const {
  const auto reporting = std::count_if(reports_start_.begin(), reports_start_.end(),
                                       [](const auto& entry) { return entry.second; });
  const auto all = static_cast<double>(reports_start_.size());
  return reporting > 0 && static_cast<double>(reporting) >= kMinReportingShare * all;
}

void EngineEntries::mark_unusable(const store::Row& row, EntryFault fault, const char* what) {
  const auto known = unusable_.find(row.id.key);
  // Logged only when the fault of an entry changes: a writer may repeat the same entry for hours.
  if (known != unusable_.end() && known->second == fault) return;
  unusable_[row.id.key] = fault;
  state_.metrics.set_unusable_entries(unusable_.size());
  state_.log.event("engine_entry_unusable")
      .with("engine", row.id.key)
      .with("row_version", row.version)
      .with("why", balancing::name_of(fault))
      .with("what", what)
      .with("known", static_cast<int>(state_.engines.at(row.id.key) != nullptr));
}

void EngineEntries::apply_record(const store::Row& row, balancing::EngineRecord record) {
  const bool was_unusable = unusable_.erase(row.id.key) > 0;
  if (was_unusable) state_.metrics.set_unusable_entries(unusable_.size());
  const bool was_listed = state_.engines.at(row.id.key) != nullptr;
  state_.engines.put(std::move(record));
  const auto engine = state_.engines.at(row.id.key);
  if (engine == nullptr || (was_listed && !was_unusable)) return;
  state_.log.event("engine_added")
      .with("engine", engine->record.id)
      .with("service", engine->record.service)
      .with("row_version", row.version);
}

std::optional<balancing::EngineRecord> EngineEntries::read(const store::Row& row) {
  try {
    auto record = records_.decode_engine(row.id.key, row.value);
    reports_start_[row.id.key] = record.started_ms.has_value();
    return record;
  } catch (const balancing::UnusableEntry& error) {
    reports_start_.erase(row.id.key);
    mark_unusable(row, error.fault(), error.what());
    return std::nullopt;
  }
}

void EngineEntries::apply_snapshot(const std::vector<store::Row>& rows, bool may_reappear) {
  reports_start_.clear();
  std::unordered_map<std::string, EntryFault> before;
  std::swap(before, unusable_);
  std::vector<balancing::EngineRecord> readable;
  std::vector<const store::Row*> sources;
  for (const auto& row : rows) {
    // Carried over so that an entry whose fault is unchanged is not logged again.
    const auto known = before.find(row.id.key);
    if (known != before.end()) unusable_.insert(*known);
    if (auto record = read(row)) {
      readable.push_back(std::move(*record));
      sources.push_back(&row);
    }
  }
  const bool starts_expected = starts_reported();
  std::vector<balancing::EngineRecord> engines;
  for (std::size_t i = 0; i < readable.size(); ++i) {
    if (starts_expected && !readable[i].started_ms) {
      mark_unusable(*sources[i], EntryFault::kStartMissing, "");
      continue;
    }
    unusable_.erase(readable[i].entry_key());
    engines.push_back(std::move(readable[i]));
  }
  std::vector<std::string> suspended;
  for (const auto& [key, fault] : unusable_) suspended.push_back(key);
  using AbsentPolicy = balancing::EngineRegistry::AbsentPolicy;
  state_.engines.replace(std::move(engines),
                         may_reappear ? AbsentPolicy::kMarkStale : AbsentPolicy::kRemove,
                         suspended);
  state_.engines_known = true;
  state_.metrics.set_unusable_entries(unusable_.size());
  state_.log.event("engines_read")
      .with("count", state_.engines.size())
      .with("unusable", unusable_.size());
}

void EngineEntries::apply_removal(const store::Row& row, bool may_reappear) {
  reports_start_.erase(row.id.key);
  if (unusable_.erase(row.id.key) > 0) state_.metrics.set_unusable_entries(unusable_.size());
  if (!may_reappear) {
    state_.engines.remove(row.id.key);
    return;
  }
  state_.log.event("engine_entry_lapsed")
      .with("engine", row.id.key)
      .with("row_version", row.version);
  state_.engines.mark_stale(row.id.key);
}

void EngineEntries::apply_change(const store::Row& row, bool may_reappear) {
  if (row.removed) {
    apply_removal(row, may_reappear);
    return;
  }
  auto record = read(row);
  if (record && !record->started_ms && starts_reported()) {
    mark_unusable(row, EntryFault::kStartMissing, "");
    record.reset();
  }
  if (!record) {
    state_.engines.suspend(row.id.key);
    return;
  }
  apply_record(row, std::move(*record));
}

}  // namespace sailgate::serving
