/// @file Steps of one read-modify-write of rows, apart from any I/O.
///
///  1. Evaluate what is cached, or read.
///  2. Write under the condition that nothing changed since.
///  3. On a conflict read again and evaluate anew. A write without an answer is sent again with the
///     same condition: at most one of them takes effect, and the conflict that another one may have
///     caused is resolved by evaluating what is there.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.hpp"
#include "store/table_store.hpp"

namespace sailgate::store {

/// What is updated. Evaluating must be idempotent: an earlier try may have taken effect unseen.
class UpdateSubject {
 public:
  UpdateSubject() = default;
  UpdateSubject(const UpdateSubject&) = delete;
  UpdateSubject& operator=(const UpdateSubject&) = delete;
  virtual ~UpdateSubject() = default;

  /// Takes the rows as the store has them.
  virtual void load(std::vector<Row> rows) = 0;
  /// Decides. @return what must be written for the decision to hold; nothing when nothing changes.
  virtual std::optional<Transaction> evaluate() = 0;
  /// The last transaction was written, as this version.
  virtual void written(std::int64_t version) = 0;
};

/// Rules a proof may replace.
class UpdateRules {
 public:
  UpdateRules() = default;
  UpdateRules(const UpdateRules&) = delete;
  UpdateRules& operator=(const UpdateRules&) = delete;
  virtual ~UpdateRules() = default;

  /// A write takes effect only where nothing changed since its rows were read.
  virtual bool conditional() const { return true; }
  /// A decision that changes nothing holds only on rows read after the question.
  virtual bool verify_cached() const { return true; }
  /// What a write without an answer did is not known.
  virtual bool unanswered_is_done() const { return false; }
};

/// Not thread-safe.
class OptimisticUpdate {
 public:
  struct Step {
    enum class Kind { kRead, kWrite, kDone };
    Kind kind = Kind::kDone;
    base::Millis wait = 0;  ///< before doing it
    RangeRead read;
    Transaction write;
    bool decided = false;  ///< kDone: the decision holds; false: nobody could tell in time
  };

  /// @param cached whether the subject already has rows, which may be out of date.
  /// @param give_up_at time at which the update ends undecided.
  OptimisticUpdate(const UpdateRules& rules, UpdateSubject& subject, RangeRead range, bool cached,
                   base::Millis give_up_at);

  Step start();
  Step on_read(StoreResult result, base::Millis now);
  Step on_write(const StoreResult& result, base::Millis now);

 private:
  Step evaluate();
  Step read(base::Millis wait);
  Step again(Step step, base::Millis now);
  static Step done(bool decided);

  const UpdateRules& rules_;
  UpdateSubject& subject_;
  RangeRead range_;
  bool cached_;
  bool verified_ = false;  ///< the subject's rows were read by this update
  base::Millis give_up_at_;
  base::Millis pause_;
  std::vector<Row> pages_;
  Transaction write_;
};

}  // namespace sailgate::store
