/// @file The engines of all services.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "balancing/engine.hpp"

namespace sailgate::balancing {

using EnginePointer = std::shared_ptr<Engine>;

/// Mirrors the store's list of engines. Not thread-safe.
class EngineRegistry {
 public:
  /// What becomes of engines that a whole list lacks.
  enum class Absent {
    kRemoved,
    kLapsed,  ///< see lapse()
  };

  /// Adds or updates one engine.
  void put(EngineRecord record);
  /// The engine's entry is gone: it gets no new requests.
  void remove(const std::string& id);
  /// The engine's entry is gone, perhaps only because the store was away: the engine is used on
  /// until its entry is back or remove_lapsed() is called.
  void lapse(const std::string& id);
  /// Entries that are not back by now belong to engines that are gone.
  void remove_lapsed();
  /// Takes a whole list. @param absent what becomes of engines that are not in it.
  void replace(std::vector<EngineRecord> records, Absent absent = Absent::kRemoved);

  /// @return nullptr when there is no such engine.
  EnginePointer find(const std::string& id) const;
  /// Engines of a service, usable or not.
  const std::vector<EnginePointer>& of_service(const std::string& service) const;
  std::vector<EnginePointer> all() const;
  std::size_t size() const { return by_id_.size(); }

  /// Called for each engine that stops being usable.
  void on_leaving(std::function<void(const Engine&)> listener) {
    on_leaving_ = std::move(listener);
  }

 private:
  std::unordered_map<std::string, EnginePointer> by_id_;
  std::unordered_map<std::string, std::vector<EnginePointer>> by_service_;
  std::unordered_set<std::string> lapsed_;
  std::function<void(const Engine&)> on_leaving_;
};

}  // namespace sailgate::balancing
