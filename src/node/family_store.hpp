/// @file Families of programs in the table store, for code that runs on threads.
#pragma once

#include <list>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "node/blocking_update.hpp"
#include "program/family_update.hpp"

namespace sailgate::node {

/// How a change of a family ended.
enum class ChangeEnd {
  kDecided,   ///< what the change did, if anything, is stored
  kTooLarge,  ///< the family's record has no room for it; nothing was done
  kUnknown,   ///< nobody could tell in time
};

/// Thread-safe. Keeps the families that were used last, so that most changes need no read.
/// Lock order: its mutex is a leaf; nothing blocks while it is held.
class FamilyStore {
 public:
  /// @param knobs outlive this object.
  FamilyStore(store::BlockingStore& store, const base::Knobs& knobs);

  /// Reads, changes and writes a family until that holds. `change` may run several times.
  ChangeEnd change(const std::string& family, program::FamilyUpdate::Change change,
                   base::Millis patience);
  /// Removes a family that is finished, with all its rows.
  ChangeEnd remove(const std::string& family, base::Millis patience);
  /// Families of a part that somebody must look at now.
  std::vector<std::string> due_families(std::int32_t part, base::Millis now_unix);

  std::int32_t parts() const { return context_.rows.partition_count(); }
  /// Families kept in memory.
  std::size_t cached() const;

 private:
  ChangeEnd run(program::FamilyUpdate& update, bool cached, base::Millis patience);
  program::StoredFamily find_cached(const std::string& family);
  void keep(const std::string& family, const program::StoredFamily& stored);

  struct Cached {
    program::StoredFamily stored;
    std::list<std::string>::iterator place;
  };

  store::BlockingStore& store_;
  const base::Knobs& knobs_;
  program::FamilyContext context_;
  store::UpdateRules rules_;
  mutable std::mutex mutex_;
  std::map<std::string, Cached> cache_;
  std::list<std::string> by_use_;  ///< the one used last comes first
};

/// Milliseconds of the wall clock.
base::Millis unix_now();

}  // namespace sailgate::node
