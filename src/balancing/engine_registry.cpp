#include "balancing/engine_registry.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace sailgate::balancing {

void EngineRegistry::put(EngineRecord record) {
  lapsed_.erase(record.id);
  auto& entry = by_id_[record.id];
  if (entry == nullptr) {
    entry = std::make_shared<Engine>();
    entry->record = std::move(record);
    by_service_[entry->record.service].push_back(entry);
    return;
  }
  const bool was_usable = entry->usable();
  // An incarnation that is leaving does not come back.
  record.draining = record.draining || entry->record.draining;
  record.service = entry->record.service;
  entry->record = std::move(record);
  if (was_usable && !entry->usable() && on_leaving_) on_leaving_(*entry);
}

void EngineRegistry::remove(const std::string& id) {
  lapsed_.erase(id);
  const auto entry = by_id_.find(id);
  if (entry == by_id_.end()) return;
  const auto engine = entry->second;
  const bool was_usable = engine->usable();
  engine->leaving = true;
  auto& service = by_service_[engine->record.service];
  service.erase(std::remove(service.begin(), service.end(), engine), service.end());
  by_id_.erase(entry);
  if (was_usable && on_leaving_) on_leaving_(*engine);
}

void EngineRegistry::lapse(const std::string& id) {
  if (by_id_.count(id) > 0) lapsed_.insert(id);
}

void EngineRegistry::remove_lapsed() {
  const auto gone = std::exchange(lapsed_, {});
  for (const auto& id : gone) remove(id);
}

void EngineRegistry::replace(std::vector<EngineRecord> records, Absent absent) {
  std::unordered_set<std::string> listed;
  for (const auto& record : records) listed.insert(record.id);
  std::vector<std::string> unlisted;
  for (const auto& [id, engine] : by_id_) {
    if (listed.count(id) == 0) unlisted.push_back(id);
  }
  for (const auto& id : unlisted) {
    if (absent == Absent::kLapsed) {
      lapse(id);
    } else {
      remove(id);
    }
  }
  for (auto& record : records) put(std::move(record));
}

EnginePointer EngineRegistry::find(const std::string& id) const {
  const auto entry = by_id_.find(id);
  return entry == by_id_.end() ? nullptr : entry->second;
}

std::vector<EnginePointer> EngineRegistry::all() const {
  std::vector<EnginePointer> engines;
  for (const auto& [id, engine] : by_id_) engines.push_back(engine);
  return engines;
}

const std::vector<EnginePointer>& EngineRegistry::of_service(const std::string& service) const {
  static const std::vector<EnginePointer> none;
  const auto entry = by_service_.find(service);
  return entry == by_service_.end() ? none : entry->second;
}

}  // namespace sailgate::balancing
