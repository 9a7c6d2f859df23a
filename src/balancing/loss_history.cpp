#include "balancing/loss_history.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace sailgate::balancing {

namespace {

/// Reports of different nodes place the same moment so far apart. Callers come back later than
/// this.
constexpr net::Millis kReportDelay{10};

void update(EngineLoss& known, const EngineLoss& told) {
  if (known.withdrawn || told.withdrawn) {
    // What was told before the withdrawal may arrive after it; a run that broke came later.
    const bool replaces = told.withdrawn ? known.running : !told.running;
    if (replaces) known = told;
    return;
  }
  known.began = std::min(known.began, told.began);
  if (told.running && !known.running) return;
  if (known.running && !told.running) {
    known.ended = told.ended;
    known.fate = told.fate;
    known.looked_at = told.looked_at;
    known.running = false;
    return;
  }
  known.ended = std::min(known.ended, told.ended);
  if (known.fate == EngineFate::kEnded) return;
  if (told.fate != EngineFate::kEnded && told.looked_at <= known.looked_at) return;
  known.fate = told.fate;
  known.looked_at = std::max(known.looked_at, told.looked_at);
}

}  // namespace

void LossHistory::add(EngineLoss loss) {
  const auto known = find(loss.engine, loss.attempt);
  if (known == losses_.end()) {
    ++version_;
    losses_.push_back(std::move(loss));
  } else {
    update(*known, loss);
  }
  std::sort(losses_.begin(), losses_.end(), [](const auto& a, const auto& b) {
    return std::tie(a.ended, a.began) < std::tie(b.ended, b.began);
  });
  if (losses_.size() > kMaxLosses) drop_one();
}

std::vector<EngineLoss>::iterator LossHistory::find(const std::string& engine,
                                                    const std::string& attempt) {
  return std::find_if(losses_.begin(), losses_.end(), [&](const auto& loss) {
    return loss.engine == engine && loss.attempt == attempt;
  });
}

bool LossHistory::withdraw(const std::string& engine, const std::string& attempt) {
  const auto sent = find(engine, attempt);
  if (sent == losses_.end() || !sent->running) return false;
  auto withdrawn = *sent;
  withdrawn.running = false;
  withdrawn.withdrawn = true;
  withdrawn.fate = EngineFate::kAlive;
  withdrawn.looked_at = withdrawn.began;
  // So that it has settled, also where peers round the times.
  withdrawn.ended = withdrawn.began - 2 * EngineLoss::kSettleTime;
  add(std::move(withdrawn));
  return true;
}

bool LossHistory::follows(const EngineLoss& loss, const EngineLoss& before) {
  const bool same_attempt = loss.attempt == before.attempt;
  return loss.began >= before.ended + (same_attempt ? net::Millis(0) : kReportDelay);
}

void LossHistory::drop_one() {
  auto before = losses_.begin();
  for (auto loss = before + 1; loss != losses_.end(); ++loss) {
    if (!follows(*loss, *before)) {
      losses_.erase(loss);
      return;
    }
    before = loss;
  }
  losses_.erase(losses_.begin());
}

bool LossHistory::record_success(const std::string& headers, net::TimePoint began) {
  const bool clears = std::any_of(losses_.begin(), losses_.end(), [&](const auto& loss) {
    return loss.headers == headers && loss.began < began && !is_cleared(loss);
  });
  auto& succeeded_at = succeeded_at_[headers];
  succeeded_at = std::max(succeeded_at, began);
  if (succeeded_at_.size() > kMaxSuccesses) {
    const auto earlier = [](const auto& a, const auto& b) { return a.second < b.second; };
    succeeded_at_.erase(std::min_element(succeeded_at_.begin(), succeeded_at_.end(), earlier));
  }
  return clears;
}

bool LossHistory::is_cleared(const EngineLoss& loss) const {
  const auto succeeded = succeeded_at_.find(loss.headers);
  return succeeded != succeeded_at_.end() && loss.began < succeeded->second;
}

bool LossHistory::have_several_headers() const {
  const EngineLoss* first = nullptr;
  for (const auto& loss : losses_) {
    if (loss.withdrawn || is_cleared(loss)) continue;
    if (first != nullptr && first->headers != loss.headers) return true;
    first = &loss;
  }
  return false;
}

int LossHistory::engines_in_sequence(const Filter& counts) const {
  std::set<std::string> engines;
  std::set<std::string> ended;
  const EngineLoss* before = nullptr;
  // Choosing the earliest end among the runs that do not overlap gives the longest sequence.
  for (const auto& loss : losses_) {
    if (loss.withdrawn || is_cleared(loss) || !counts(loss)) continue;
    const bool overlaps = loss.shared && before != nullptr && !follows(loss, *before);
    if (overlaps) continue;
    // A run that had ended before was another process, whose entry its node had not read yet.
    const bool restarted = ended.count(loss.engine) > 0;
    engines.insert(restarted ? loss.engine + ' ' + loss.attempt : loss.engine);
    if (loss.fate == EngineFate::kEnded) ended.insert(loss.engine);
    before = &loss;
  }
  return static_cast<int>(engines.size());
}

LossCount LossHistory::count_if(const Judge& judge, const Filter& counts) const {
  const auto engines_of = [&](auto... verdicts) {
    return engines_in_sequence([&](const auto& loss) {
      const auto verdict = judge(loss);
      return counts(loss) && ((verdict == verdicts) || ...);
    });
  };
  LossCount count;
  count.ended = engines_of(LossVerdict::kEnded);
  count.open = engines_of(LossVerdict::kEnded, LossVerdict::kOpen) - count.ended;
  count.survived = engines_of(LossVerdict::kSurvived);
  for (const auto& loss : losses_) {
    if (loss.withdrawn || is_cleared(loss) || !counts(loss)) continue;
    if (judge(loss) != LossVerdict::kOpen) continue;
    const auto settles_at = loss.settles_at();
    count.settles_at = count.settles_at ? std::min(*count.settles_at, settles_at) : settles_at;
  }
  return count;
}

LossCount LossHistory::count(const Judge& judge, const std::string& headers) const {
  const bool harmless = succeeded_at_.count(headers) > 0;
  if (!harmless && have_several_headers()) return count_for_all(judge);
  return count_if(judge, [&](const auto& loss) { return loss.headers == headers; });
}

LossCount LossHistory::count_for_all(const Judge& judge) const {
  return count_if(judge, [](const auto&) { return true; });
}

}  // namespace sailgate::balancing
