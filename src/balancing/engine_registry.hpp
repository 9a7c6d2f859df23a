/// @file The engines of all services.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "balancing/engine.hpp"

namespace sailgate::balancing {

using EnginePointer = std::shared_ptr<Engine>;

/// Mirrors the store's list of engines: at each entry_key, which is named by the entry's key, the
/// last run that was heard of. Not thread-safe.
class EngineRegistry {
 public:
  /// What becomes of engines that a whole list lacks.
  enum class AbsentPolicy {
    kRemove,
    kMarkStale,  ///< see mark_stale()
  };

  /// Adds or updates one engine. Another run at its entry_key ends the run before for good: what is
  /// read of that one afterwards is old.
  void put(EngineRecord record);
  /// The engine's entry is gone: it gets no new requests.
  void remove(const std::string& entry_key);
  /// The engine's entry is gone, perhaps only because the store was away: the engine is used on
  /// until its entry is back or remove_stale() is called.
  void mark_stale(const std::string& entry_key);
  /// The engine's entry names no engine: it gets no new requests until a usable entry comes.
  void suspend(const std::string& entry_key);
  /// Entries that are not back by now belong to engines that are gone.
  void remove_stale();
  /// Takes a whole list. @param absent what becomes of engines that are not in it. @param suspended
  /// places whose entries name no engine.
  void replace(std::vector<EngineRecord> records, AbsentPolicy absent = AbsentPolicy::kRemove,
               const std::vector<std::string>& suspended = {});

  /// @param id of a run. @return nullptr when there is no such engine.
  EnginePointer find(const std::string& id) const;
  /// @return the last run at this entry_key; nullptr when there is none.
  EnginePointer at(const std::string& entry_key) const;
  /// Whether another run has taken this one's entry_key: it has forgotten all and works on nothing.
  bool has_ended(const std::string& id) const { return ended_.count(id) > 0; }
  /// Engines of a service, usable or not.
  const std::vector<EnginePointer>& of_service(const std::string& service) const;
  std::vector<EnginePointer> all() const;
  std::size_t size() const { return by_id_.size(); }

  /// Called for each engine that stops being usable.
  void on_unusable(std::function<void(const Engine&)> listener) {
    on_unusable_ = std::move(listener);
  }
  /// Called for each run that another one follows, with both.
  void on_restart(std::function<void(const Engine& before, const EngineRecord& now)> listener) {
    on_restart_ = std::move(listener);
  }

 private:
  /// Ended runs that are remembered: entries of them can be read late, but not for long.
  static constexpr std::size_t kMostEnded = 4096;

  void end_run(const EnginePointer& engine);
  void take_out(const EnginePointer& engine);

  std::unordered_map<std::string, EnginePointer> by_entry_key_;
  std::unordered_map<std::string, EnginePointer> by_id_;
  std::unordered_set<std::string> ended_;
  std::deque<std::string> ended_in_order_;
  std::unordered_map<std::string, std::vector<EnginePointer>> by_service_;
  std::unordered_set<std::string> stale_;
  std::function<void(const Engine&)> on_unusable_;
  std::function<void(const Engine&, const EngineRecord&)> on_restart_;
};

}  // namespace sailgate::balancing
