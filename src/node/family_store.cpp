#include "node/family_store.hpp"

#include <chrono>

namespace sailgate::node {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kMostCached = 4096;

}  // namespace

base::Millis unix_now() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return duration_cast<milliseconds>(now).count();
}

FamilyStore::FamilyStore(store::BlockingStore& store, const base::Knobs& knobs)
    : store_(store),
      knobs_(knobs),
      context_{program::FamilyRows(knobs.family_parts), std::make_shared<program::ProgramRules>(),
               knobs, unix_now} {}

ChangeEnd FamilyStore::run(program::FamilyUpdate& update, bool cached, base::Millis patience) {
  const milliseconds timeout(knobs_.store_timeout);
  store::OptimisticUpdate steps(rules_, update, context_.rows.family_range(update.family()), cached,
                                monotonic_now() + patience);
  const bool decided = run_update(store_, steps, timeout);
  if (update.too_large()) return ChangeEnd::kTooLarge;
  return decided ? ChangeEnd::kDecided : ChangeEnd::kUnknown;
}

ChangeEnd FamilyStore::change(const std::string& family, program::FamilyUpdate::Change change,
                              base::Millis patience) {
  auto known = find_cached(family);
  const bool cached = known.state != nullptr;
  program::FamilyUpdate update(context_, family, std::move(known), std::move(change));
  const auto end = run(update, cached, patience);
  if (end == ChangeEnd::kDecided) keep(family, update.stored());
  return end;
}

ChangeEnd FamilyStore::remove(const std::string& family, base::Millis patience) {
  const auto nothing = [](program::FamilyState&) {};
  program::FamilyUpdate update(context_, family, {}, nothing);
  update.remove_when_finished();
  const auto end = run(update, false, patience);
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = cache_.find(family);
  if (found != cache_.end()) {
    by_use_.erase(found->second.place);
    cache_.erase(found);
  }
  return end;
}

std::vector<std::string> FamilyStore::due_families(std::int32_t part, base::Millis now_unix) {
  std::vector<std::string> due;
  std::string after;
  bool more = true;
  while (more) {
    const auto page =
        store_.read(context_.rows.due_range(part, after), milliseconds(knobs_.store_timeout));
    if (page.status != store::StoreStatus::kDone) break;
    for (const auto& row : page.rows) {
      if (program::FamilyRows::decode_due_time(row) <= now_unix) due.push_back(row.id.key);
    }
    more = page.more && !page.rows.empty();
    if (more) after = page.rows.back().id.key;
  }
  return due;
}

program::StoredFamily FamilyStore::find_cached(const std::string& family) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = cache_.find(family);
  if (found == cache_.end()) return {};
  by_use_.splice(by_use_.begin(), by_use_, found->second.place);
  return found->second.stored;
}

void FamilyStore::keep(const std::string& family, const program::StoredFamily& stored) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = cache_.find(family);
  if (found != cache_.end()) {
    // NOTE: another thread may have stored a later state meanwhile.
    if (found->second.stored.version < stored.version) found->second.stored = stored;
    return;
  }
  by_use_.push_front(family);
  cache_[family] = {stored, by_use_.begin()};
  if (cache_.size() <= kMostCached) return;
  cache_.erase(by_use_.back());
  by_use_.pop_back();
}

std::size_t FamilyStore::cached() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return cache_.size();
}

}  // namespace sailgate::node
