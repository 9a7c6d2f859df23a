#include "balancing/loss_history.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace sailgate::balancing {

namespace {

/// Reports of different nodes place the same moment so far apart. Callers come back later than
/// this.
constexpr net::Millis kReportDelay{10};

}  // namespace

void LossHistory::add(EngineLoss loss) {
  const auto known = std::find_if(losses_.begin(), losses_.end(), [&](const auto& other) {
    return other.engine == loss.engine && other.attempt == loss.attempt;
  });
  if (known == losses_.end()) {
    losses_.push_back(std::move(loss));
  } else {
    known->began = std::min(known->began, loss.began);
    known->ended = std::min(known->ended, loss.ended);
    known->fate = std::max(known->fate, loss.fate);
  }
  std::sort(losses_.begin(), losses_.end(), [](const auto& a, const auto& b) {
    return std::tie(a.ended, a.began) < std::tie(b.ended, b.began);
  });
  if (losses_.size() > kMaxLosses) drop_one();
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

void LossHistory::record_success(net::TimePoint began) {
  succeeded_at_ = std::max(succeeded_at_, began);
}

int LossHistory::lost_engines(const std::function<bool(const EngineLoss&)>& counts) const {
  std::set<std::string> engines;
  const EngineLoss* before = nullptr;
  // Choosing the earliest end among the runs that do not overlap gives the longest sequence.
  for (const auto& loss : losses_) {
    const bool overlaps = loss.shared && before != nullptr && !follows(loss, *before);
    if (overlaps || loss.began < succeeded_at_ || !counts(loss)) continue;
    engines.insert(loss.engine);
    before = &loss;
  }
  return static_cast<int>(engines.size());
}

}  // namespace sailgate::balancing
