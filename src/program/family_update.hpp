/// @file A single update or read of a family as the subject of a store::OptimisticUpdate.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "program/due_work.hpp"
#include "program/family_rows.hpp"
#include "store/optimistic_update.hpp"

namespace sailgate::program {

/// Dependencies shared by all updates of a process; must outlive them.
struct FamilyContext {
  FamilyRows rows;
  std::shared_ptr<const ProgramRules> rules;
  const base::Knobs& knobs;
  std::function<base::Millis()> now_unix;
};

/// Applies a change function to a family and builds the transaction that stores the result.
/// Deterministic if the change function is. Not thread-safe.
class FamilyUpdate : public store::UpdateSubject {
 public:
  /// Changes the state, or leaves it unchanged. After a write conflict it is called again on the
  /// newly loaded state.
  using Change = std::function<void(FamilyState&)>;

  /// @param cached the family as last seen by this process, or an empty value.
  FamilyUpdate(const FamilyContext& context, std::string family, StoredFamily cached,
               Change change);

  void load(std::vector<store::Row> rows) override;
  std::optional<store::Transaction> evaluate() override;
  void written(std::int64_t version) override;

  /// Makes evaluate() remove the family instead of storing it, provided that it is finished.
  void remove_when_finished() { remove_when_finished_ = true; }
  /// Whether the change was not stored because the family's record would exceed its size limit.
  bool too_large() const { return too_large_; }
  /// The family as stored after this update.
  const StoredFamily& stored() const { return stored_; }
  const std::string& family() const { return family_; }

 private:
  const FamilyContext& context_;
  std::string family_;
  StoredFamily stored_;
  Change change_;
  std::shared_ptr<FamilyState> next_;
  bool remove_when_finished_ = false;
  bool too_large_ = false;
};

}  // namespace sailgate::program
