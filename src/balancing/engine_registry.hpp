/// @file The engines of all services.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancing/engine.hpp"

namespace sailgate::balancing {

using EnginePointer = std::shared_ptr<Engine>;

/// Mirrors the store's list of engines. Not thread-safe.
class EngineRegistry {
 public:
  /// Adds or updates one engine.
  void put(EngineRecord record);
  /// The engine's entry is gone: it gets no new requests.
  void remove(const std::string& id);
  /// Takes a whole list: engines that are not in it are removed.
  void replace(std::vector<EngineRecord> records);

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
  std::function<void(const Engine&)> on_leaving_;
};

}  // namespace sailgate::balancing
