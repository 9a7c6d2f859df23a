/// @file Registry of the engines of all services.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "balancing/engine.hpp"
#include "balancing/recent_runs.hpp"

namespace sailgate::balancing {

using EnginePointer = std::shared_ptr<Engine>;

/// Mirrors the store's list of engines. Holds the latest known run for each entry key. Not
/// thread-safe.
class EngineRegistry {
 public:
  /// What replace() does with engines that are missing from the new list.
  enum class AbsentPolicy {
    kRemove,
    kMarkStale,  ///< see mark_stale()
  };

  /// Adds or updates an engine. A record of a newer run for a known entry key ends the previous
  /// run. A record of an older run, which a late write brings back, is outdated: it changes nothing
  /// unless adopt_lasting() takes it.
  void put(EngineRecord record);
  /// Takes over outdated records that no other one has replaced for this long. A run whose clock
  /// was set back looks older than the run before, but keeps its entry.
  void adopt_lasting(net::TimePoint now, net::Millis duration);
  /// Removes an engine whose entry is gone; it gets no new requests.
  void remove(const std::string& entry_key);
  /// Marks an engine whose entry is missing, possibly only because the store was unavailable. The
  /// engine stays in use until its entry is back or remove_stale() is called.
  void mark_stale(const std::string& entry_key);
  /// Marks an engine whose entry is invalid. It gets no new requests until a valid entry arrives.
  void suspend(const std::string& entry_key);
  /// Removes the engines that were marked stale and whose entries have not come back.
  void remove_stale();
  /// Replaces the whole list. Engines that came and left since the list before are not known.
  /// @param absent what to do with engines missing from the list.
  /// @param suspended keys of invalid entries.
  void replace(std::vector<EngineRecord> records, AbsentPolicy absent = AbsentPolicy::kRemove,
               const std::vector<std::string>& suspended = {});

  /// @param id of a run.
  /// @return nullptr if unknown.
  EnginePointer find(const std::string& id) const;
  /// @return the latest run for this entry key; nullptr if there is none.
  EnginePointer at(const std::string& entry_key) const;
  /// Whether the run was superseded by a newer one; it has lost its cache and its requests.
  bool has_ended(const std::string& id) const { return ended_runs_.contains(id); }
  /// When this node learned that a newer run superseded this one, or that its entry is gone;
  /// nullopt if it is listed or was never known.
  std::optional<net::TimePoint> gone_at(const std::string& id) const;
  /// Whether the engine is in the list; requests in flight may hold one that no longer is.
  bool lists(const Engine& engine) const;
  /// All engines of a service, including unusable ones.
  const std::vector<EnginePointer>& of_service(const std::string& service) const;
  /// The software version that all engines of a service have, and those that left it after `since`
  /// had; nullopt if there are several, or no engine.
  std::optional<std::string> sole_software_version(const std::string& service,
                                                   net::TimePoint since) const;
  /// Whether this node has seen every change of the list since then.
  bool observed_all_since(net::TimePoint time) const {
    return observed_since_ && *observed_since_ <= time;
  }
  /// Changes of the list may have been missed, or are late.
  void restart_observation(net::TimePoint now) { observed_since_ = now; }
  std::vector<EnginePointer> all() const;
  /// Engines whose run id has this engine_key(), usually one.
  std::vector<EnginePointer> with_key(std::int32_t key) const;
  /// All engines by zone, including unusable ones.
  const std::unordered_map<std::string, std::vector<EnginePointer>>& by_zone() const {
    return by_zone_;
  }
  /// Changes whenever an engine is added or moves to another zone.
  std::uint64_t membership_version() const { return membership_version_; }
  std::size_t size() const { return by_id_.size(); }

  /// Called when an engine stops being usable.
  void on_unusable(std::function<void(const Engine&)> listener) {
    on_unusable_ = std::move(listener);
  }
  /// Called with the ended run and the record of its successor.
  void on_restart(std::function<void(const Engine& before, const EngineRecord& now)> listener) {
    on_restart_ = std::move(listener);
  }
  /// Called with an outdated record and the id of the newest known run.
  void on_outdated(
      std::function<void(const EngineRecord& record, const std::string& newest)> listener) {
    on_outdated_ = std::move(listener);
  }

 private:
  /// Limit of remembered ended runs. Entries of an ended run can arrive late, but only for a short
  /// time.
  static constexpr std::size_t kMaxEndedRuns = 4096;

  struct Run {
    std::string id;
    std::optional<std::int64_t> started_ms;
  };
  struct OutdatedRecord {
    EngineRecord record;
    net::TimePoint since{};
  };

  /// Whether the record is of another run than the newest one, and not of a newer one.
  bool is_outdated(const EngineRecord& record) const;
  void set_aside(EngineRecord record);
  void apply(EngineRecord record);
  /// Records that an engine of this service and version is no longer in the list.
  void record_departure(const EngineRecord& record);
  void end_run(const EnginePointer& engine);
  void add(EngineRecord record);
  void detach(const EnginePointer& engine);

  std::unordered_map<std::string, EnginePointer> by_entry_key_;
  std::unordered_map<std::string, EnginePointer> by_id_;
  std::unordered_multimap<std::int32_t, EnginePointer> by_key_;
  std::unordered_map<std::string, std::vector<EnginePointer>> by_zone_;
  std::uint64_t membership_version_ = 0;
  std::optional<net::TimePoint> observed_since_;  ///< nullopt before the first list
  RecentRuns ended_runs_{kMaxEndedRuns};    ///< superseded by newer ones, with the time of notice
  RecentRuns removed_runs_{kMaxEndedRuns};  ///< whose entries are gone, with the time of notice
  std::unordered_map<std::string, std::vector<EnginePointer>> by_service_;
  /// By service and software version: when its last engine left that did.
  std::unordered_map<std::string, std::map<std::string, net::TimePoint>> left_at_;
  std::unordered_set<std::string> stale_;
  /// By entry key: the newest run, also of engines that left lately.
  std::unordered_map<std::string, Run> newest_runs_;
  std::deque<std::string> left_fifo_;                         ///< entry keys
  std::unordered_map<std::string, OutdatedRecord> outdated_;  ///< by entry key
  std::function<void(const Engine&)> on_unusable_;
  std::function<void(const Engine&, const EngineRecord&)> on_restart_;
  std::function<void(const EngineRecord&, const std::string&)> on_outdated_;
};

}  // namespace sailgate::balancing
