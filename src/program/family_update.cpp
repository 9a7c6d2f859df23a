#include "program/family_update.hpp"

#include <utility>

namespace sailgate::program {

FamilyUpdate::FamilyUpdate(const FamilyContext& context, std::string family, StoredFamily cached,
                           Change change)
    : context_(context),
      family_(std::move(family)),
      stored_(std::move(cached)),
      change_(std::move(change)) {}

void FamilyUpdate::load(std::vector<store::Row> rows) {
  stored_ = context_.rows.load(family_, rows, context_.rules);
}

std::optional<store::Transaction> FamilyUpdate::evaluate() {
  too_large_ = false;
  next_ = std::make_shared<FamilyState>(*stored_.state);
  change_(*next_);
  if (remove_when_finished_ && !stored_.state->empty() && stored_.state->finished()) {
    return context_.rows.build_removal(family_, stored_);
  }
  if (!next_->changed()) return std::nullopt;
  const auto due_at = next_due_at(*next_, context_.now_unix(), context_.knobs);
  auto transaction = context_.rows.build_update(family_, *next_, stored_.version, due_at);
  too_large_ = !transaction.has_value();
  return transaction;
}

void FamilyUpdate::written(std::int64_t version) {
  next_->mark_stored();
  stored_.state = std::move(next_);
  stored_.version = version;
}

}  // namespace sailgate::program
