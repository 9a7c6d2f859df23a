/// @file What a replica group replicates.
#pragma once

#include <string>

#include "sailgate_types.h"

namespace sailgate::replication {

/// Deterministic state changed only by committed entries, in index order.
class StateMachine {
 public:
  StateMachine() = default;
  StateMachine(const StateMachine&) = delete;
  StateMachine& operator=(const StateMachine&) = delete;
  virtual ~StateMachine() = default;

  /// Applies a committed entry. @return kNone, or why the entry is void; a void entry changes
  /// nothing, on every replica alike.
  virtual wire::ErrorKind::type apply(const wire::JournalEntry& entry) = 0;

  /// @return the whole state, for a replica that joins or lags too far.
  virtual std::string snapshot() const = 0;

  /// Replaces the state. @throws apache::thrift::TException on damaged input.
  virtual void restore(const std::string& bytes) = 0;
};

}  // namespace sailgate::replication
