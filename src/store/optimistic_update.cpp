#include "store/optimistic_update.hpp"

#include <algorithm>
#include <utility>

namespace sailgate::store {

namespace {

constexpr base::Millis kInitialBackoff = 20;
constexpr base::Millis kMaxBackoff = 320;

}  // namespace

OptimisticUpdate::OptimisticUpdate(const UpdateRules& rules, UpdateSubject& subject,
                                   RangeRead range, bool cached, base::Millis give_up_at)
    : rules_(rules),
      subject_(subject),
      range_(std::move(range)),
      cached_(cached),
      give_up_at_(give_up_at),
      backoff_(kInitialBackoff) {}

OptimisticUpdate::Step OptimisticUpdate::start() { return cached_ ? evaluate() : read(0); }

OptimisticUpdate::Step OptimisticUpdate::done(bool decided) {
  Step step;
  step.decided = decided;
  return step;
}

OptimisticUpdate::Step OptimisticUpdate::read(base::Millis wait) {
  pages_.clear();
  Step step;
  step.kind = Step::Kind::kRead;
  step.wait = wait;
  step.read = range_;
  return step;
}

OptimisticUpdate::Step OptimisticUpdate::evaluate() {
  auto write = subject_.evaluate();
  const bool holds = verified_ || !rules_.verify_cached();
  if (!write) return holds ? done(true) : read(0);
  write_ = std::move(*write);
  if (!rules_.conditional()) write_.conditions.clear();
  Step step;
  step.kind = Step::Kind::kWrite;
  step.write = write_;
  return step;
}

OptimisticUpdate::Step OptimisticUpdate::retry(Step step, base::Millis now) {
  step.wait = backoff_;
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  return now + step.wait >= give_up_at_ ? done(false) : step;
}

OptimisticUpdate::Step OptimisticUpdate::on_read(StoreResult result, base::Millis now) {
  if (result.status != StoreStatus::kDone) return retry(read(0), now);
  std::move(result.rows.begin(), result.rows.end(), std::back_inserter(pages_));
  if (result.more && !pages_.empty()) {
    Step step;
    step.kind = Step::Kind::kRead;
    step.read = range_;
    step.read.from_key = pages_.back().id.key + '\0';
    return step;
  }
  verified_ = true;
  subject_.load(std::exchange(pages_, {}));
  return evaluate();
}

OptimisticUpdate::Step OptimisticUpdate::on_write(const StoreResult& result, base::Millis now) {
  const bool unanswered = result.status == StoreStatus::kUnknown;
  if (result.status == StoreStatus::kDone || (unanswered && rules_.unanswered_is_done())) {
    subject_.written(result.version);
    return done(true);
  }
  if (result.status == StoreStatus::kConflict) {
    verified_ = false;
    if (now >= give_up_at_) return done(false);
    return read(0);
  }
  if (result.status == StoreStatus::kFull) return done(false);
  Step step;
  step.kind = Step::Kind::kWrite;
  step.write = write_;
  return retry(std::move(step), now);
}

}  // namespace sailgate::store
