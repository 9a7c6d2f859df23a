#include "balancing/engine_registry.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace sailgate::balancing {

namespace {

void remove_from(std::vector<EnginePointer>& engines, const EnginePointer& engine) {
  engines.erase(std::remove(engines.begin(), engines.end(), engine), engines.end());
}

}  // namespace

void EngineRegistry::put(EngineRecord record) {
  if (is_outdated(record)) {
    set_aside(std::move(record));
  } else {
    apply(std::move(record));
  }
}

bool EngineRegistry::is_outdated(const EngineRecord& record) const {
  const auto newest = newest_runs_.find(record.entry_key());
  if (newest == newest_runs_.end() || newest->second.id == record.id) return false;
  if (has_ended(record.id)) return true;
  const auto& newest_start = newest->second.started_ms;
  return newest_start && record.started_ms && *record.started_ms < *newest_start;
}

void EngineRegistry::set_aside(EngineRecord record) {
  auto& outdated = outdated_[record.entry_key()];
  if (outdated.record.id != record.id) {
    outdated.since = net::Clock::now();
    if (on_outdated_) on_outdated_(record, newest_runs_[record.entry_key()].id);
  }
  outdated.record = std::move(record);
}

void EngineRegistry::adopt_lasting(net::TimePoint now, net::Millis duration) {
  std::vector<EngineRecord> lasting;
  for (const auto& [entry_key, outdated] : outdated_) {
    if (now >= outdated.since + duration) lasting.push_back(outdated.record);
  }
  for (auto& record : lasting) {
    ended_runs_.erase(record.id);
    // By its start the run before looks newer; this marks its late records as outdated.
    ended_runs_.add(newest_runs_[record.entry_key()].id, now);
    apply(std::move(record));
  }
}

void EngineRegistry::apply(EngineRecord record) {
  const auto entry_key = record.entry_key();
  outdated_.erase(entry_key);
  stale_.erase(entry_key);
  newest_runs_[entry_key] = {record.id, record.started_ms};
  const auto known = at(entry_key);
  const bool restarted = known != nullptr && known->record.id != record.id;
  if (restarted) {
    if (on_restart_) on_restart_(*known, record);
    end_run(known);
  }
  if (known == nullptr || restarted) {
    add(std::move(record));
    return;
  }
  const bool was_usable = known->usable();
  known->entry_unusable = false;
  // Draining is final for a run.
  record.draining = record.draining || known->record.draining;
  record.service = known->record.service;
  if (record.zone != known->record.zone) {
    remove_from(by_zone_[known->record.zone], known);
    by_zone_[record.zone].push_back(known);
    ++membership_version_;
  }
  if (record.software_version != known->record.software_version) record_departure(known->record);
  known->record = std::move(record);
  if (was_usable && !known->usable() && on_unusable_) on_unusable_(*known);
}

void EngineRegistry::add(EngineRecord record) {
  auto engine = std::make_shared<Engine>();
  engine->record = std::move(record);
  engine->key = engine_key(engine->record.id);
  removed_runs_.erase(engine->record.id);
  by_entry_key_[engine->record.entry_key()] = engine;
  by_id_[engine->record.id] = engine;
  by_key_.emplace(engine->key, engine);
  by_service_[engine->record.service].push_back(engine);
  by_zone_[engine->record.zone].push_back(engine);
  ++membership_version_;
}

void EngineRegistry::detach(const EnginePointer& engine) {
  record_departure(engine->record);
  const bool was_usable = engine->usable();
  engine->leaving = true;
  remove_from(by_service_[engine->record.service], engine);
  remove_from(by_zone_[engine->record.zone], engine);
  const auto [first, last] = by_key_.equal_range(engine->key);
  by_key_.erase(
      std::find_if(first, last, [&](const auto& entry) { return entry.second == engine; }));
  by_id_.erase(engine->record.id);
  by_entry_key_.erase(engine->record.entry_key());
  if (was_usable && on_unusable_) on_unusable_(*engine);
}

void EngineRegistry::record_departure(const EngineRecord& record) {
  left_at_[record.service][record.software_version] = net::Clock::now();
}

std::optional<std::string> EngineRegistry::sole_software_version(const std::string& service,
                                                                 net::TimePoint since) const {
  const auto& engines = of_service(service);
  if (engines.empty()) return std::nullopt;
  const auto& version = engines.front()->record.software_version;
  for (const auto& engine : engines) {
    if (engine->record.software_version != version) return std::nullopt;
  }
  const auto departed = left_at_.find(service);
  if (departed == left_at_.end()) return version;
  for (const auto& [departed_version, left_at] : departed->second) {
    if (departed_version != version && left_at > since) return std::nullopt;
  }
  return version;
}

void EngineRegistry::end_run(const EnginePointer& engine) {
  ended_runs_.add(engine->record.id, net::Clock::now());
  detach(engine);
}

void EngineRegistry::remove(const std::string& entry_key) {
  stale_.erase(entry_key);
  outdated_.erase(entry_key);
  const auto engine = at(entry_key);
  if (engine == nullptr) return;
  detach(engine);
  removed_runs_.add(engine->record.id, net::Clock::now());
  left_fifo_.push_back(entry_key);
  if (left_fifo_.size() <= kMaxEndedRuns) return;
  if (at(left_fifo_.front()) == nullptr) newest_runs_.erase(left_fifo_.front());
  left_fifo_.pop_front();
}

void EngineRegistry::mark_stale(const std::string& entry_key) {
  outdated_.erase(entry_key);
  if (by_entry_key_.count(entry_key) > 0) stale_.insert(entry_key);
}

void EngineRegistry::suspend(const std::string& entry_key) {
  stale_.erase(entry_key);
  outdated_.erase(entry_key);
  if (const auto engine = at(entry_key)) engine->entry_unusable = true;
}

void EngineRegistry::remove_stale() {
  const auto stale = std::exchange(stale_, {});
  for (const auto& entry_key : stale) remove(entry_key);
}

void EngineRegistry::replace(std::vector<EngineRecord> records, AbsentPolicy absent,
                             const std::vector<std::string>& suspended) {
  restart_observation(net::Clock::now());
  std::unordered_set<std::string> listed(suspended.begin(), suspended.end());
  for (const auto& record : records) listed.insert(record.entry_key());
  std::vector<std::string> unlisted;
  for (const auto& [entry_key, engine] : by_entry_key_) {
    if (listed.count(entry_key) == 0) unlisted.push_back(entry_key);
  }
  for (const auto& entry_key : unlisted) {
    if (absent == AbsentPolicy::kMarkStale) {
      mark_stale(entry_key);
    } else {
      remove(entry_key);
    }
  }
  for (const auto& entry_key : suspended) suspend(entry_key);
  for (auto& record : records) put(std::move(record));
}

std::optional<net::TimePoint> EngineRegistry::gone_at(const std::string& id) const {
  const auto ended = ended_runs_.time_of(id);
  return ended ? ended : removed_runs_.time_of(id);
}

EnginePointer EngineRegistry::find(const std::string& id) const {
  const auto entry = by_id_.find(id);
  return entry == by_id_.end() ? nullptr : entry->second;
}

bool EngineRegistry::lists(const Engine& engine) const {
  const auto entry = by_id_.find(engine.record.id);
  return entry != by_id_.end() && entry->second.get() == &engine;
}

EnginePointer EngineRegistry::at(const std::string& entry_key) const {
  const auto entry = by_entry_key_.find(entry_key);
  return entry == by_entry_key_.end() ? nullptr : entry->second;
}

std::vector<EnginePointer> EngineRegistry::all() const {
  std::vector<EnginePointer> engines;
  for (const auto& [id, engine] : by_id_) engines.push_back(engine);
  return engines;
}

std::vector<EnginePointer> EngineRegistry::with_key(std::int32_t key) const {
  std::vector<EnginePointer> engines;
  const auto [first, last] = by_key_.equal_range(key);
  for (auto entry = first; entry != last; ++entry) engines.push_back(entry->second);
  return engines;
}

const std::vector<EnginePointer>& EngineRegistry::of_service(const std::string& service) const {
  static const std::vector<EnginePointer> none;
  const auto entry = by_service_.find(service);
  return entry == by_service_.end() ? none : entry->second;
}

}  // namespace sailgate::balancing
