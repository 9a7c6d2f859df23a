/// @file One change or reading of a family, as a subject of store::OptimisticUpdate.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "program/due_work.hpp"
#include "program/family_rows.hpp"
#include "store/optimistic_update.hpp"

namespace sailgate::program {

/// What all updates of a process share. Outlives them.
struct FamilyContext {
  FamilyRows rows;
  std::shared_ptr<const ProgramRules> rules;
  const base::Knobs& knobs;
  std::function<base::Millis()> now_unix;
};

/// Deterministic but for the decision it is given; not thread-safe.
class FamilyUpdate : public store::UpdateSubject {
 public:
  /// Changes the state, or not; may be called several times, each time on a fresh state.
  using Change = std::function<void(FamilyState&)>;

  /// @param cached the family as this process saw it last, or nothing.
  FamilyUpdate(const FamilyContext& context, std::string family, StoredFamily cached,
               Change change);

  void load(std::vector<store::Row> rows) override;
  std::optional<store::Transaction> evaluate() override;
  void written(std::int64_t version) override;

  /// The next evaluation removes the family instead of storing it, when it is finished.
  void remove_when_finished() { removing_ = true; }
  /// The change could not be stored: the family's record is full.
  bool too_large() const { return too_large_; }
  /// The family as the store has it after this update.
  const StoredFamily& stored() const { return stored_; }
  const std::string& family() const { return family_; }

 private:
  const FamilyContext& context_;
  std::string family_;
  StoredFamily stored_;
  Change change_;
  std::shared_ptr<FamilyState> next_;
  bool removing_ = false;
  bool too_large_ = false;
};

}  // namespace sailgate::program
