/// @file State machine of an optimistic read-modify-write of rows; performs no I/O.
///
///  1. Evaluate the cached rows, or read them first.
///  2. Write on the condition that the rows have not changed since.
///  3. On a conflict, read and evaluate again. A write that got no response is repeated with the
///     same condition: at most one of the attempts takes effect, and a conflict caused by an
///     earlier attempt is resolved by evaluating the stored rows.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// The data to update. Evaluation must be idempotent: an earlier attempt may have taken effect
/// although its response was lost.
class UpdateSubject {
 public:
  UpdateSubject() = default;
  UpdateSubject(const UpdateSubject&) = delete;
  UpdateSubject& operator=(const UpdateSubject&) = delete;
  virtual ~UpdateSubject() = default;

  /// Replaces the cached rows by those read from the store.
  virtual void load(std::vector<Row> rows) = 0;
  /// Makes the decision. @return the transaction that must commit for the decision to hold;
  /// nullopt if nothing changes.
  virtual std::optional<Transaction> evaluate() = 0;
  /// The last transaction was committed with this version.
  virtual void written(std::int64_t version) = 0;
};

/// Safety rules of an update. The simulation disables single rules to show that each is necessary.
class UpdateRules {
 public:
  UpdateRules() = default;
  UpdateRules(const UpdateRules&) = delete;
  UpdateRules& operator=(const UpdateRules&) = delete;
  virtual ~UpdateRules() = default;

  /// A write takes effect only if its rows have not changed since they were read.
  virtual bool conditional() const { return true; }
  /// A decision that writes nothing holds only for rows read after the update began.
  virtual bool verify_cached() const { return true; }
  /// Whether a write without a response counts as committed. Its outcome is unknown, so it must
  /// not.
  virtual bool unanswered_is_done() const { return false; }
};

/// Not thread-safe.
class OptimisticUpdate {
 public:
  struct Step {
    enum class Kind { kRead, kWrite, kDone };
    Kind kind = Kind::kDone;
    base::Millis wait = 0;  ///< delay before the step
    RangeRead read;
    Transaction write;
    bool decided = false;  ///< for kDone: the decision holds; false: no outcome before the deadline
  };

  /// @param cached whether the subject already has rows, which may be stale.
  /// @param give_up_at deadline after which the update ends without a decision.
  OptimisticUpdate(const UpdateRules& rules, UpdateSubject& subject, RangeRead range, bool cached,
                   base::Millis give_up_at);

  Step start();
  Step on_read(StoreResult result, base::Millis now);
  Step on_write(const StoreResult& result, base::Millis now);

 private:
  Step evaluate();
  Step read(base::Millis wait);
  Step retry(Step step, base::Millis now);
  static Step done(bool decided);

  const UpdateRules& rules_;
  UpdateSubject& subject_;
  RangeRead range_;
  bool cached_;
  bool verified_ = false;  ///< the subject's rows were read by this update
  base::Millis give_up_at_;
  base::Millis backoff_;
  std::vector<Row> pages_;
  Transaction write_;
};

}  // namespace sailgate::store
