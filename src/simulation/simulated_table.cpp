#include "simulation/simulated_table.hpp"

namespace sailgate::simulation {

namespace {

using store::StoreResult;
using store::StoreStatus;

constexpr base::Millis kDelay = 2;
constexpr std::uint64_t kSlowDelay = 1500;
constexpr std::uint64_t kLateDelay = 6000;
constexpr std::uint64_t kLossPercent = 60;

}  // namespace

void SimulatedTable::heal() {
  refused_.clear();
  cut_.clear();
}

void SimulatedTable::transact(const std::string& host, const store::Transaction& transaction,
                              const Reply& reply) {
  carry_out(
      host, true, [this, transaction] { return rows_.transact(transaction); }, reply);
}

void SimulatedTable::read(const std::string& host, const store::RangeRead& range,
                          const Reply& reply) {
  carry_out(
      host, false, [this, range] { return rows_.read(range); }, reply);
}

void SimulatedTable::carry_out(const std::string& host, bool writes, const Work& work,
                               const Reply& reply) {
  ++calls_;
  if (mode_ == TableMode::kDown || cut_.count(host) > 0) return;
  if (mode_ == TableMode::kRefuses || refused_.count(host) > 0) {
    StoreResult refused;
    refused.status = StoreStatus::kRefused;
    events_.after(kDelay, [reply, refused] { reply(refused); });
    return;
  }
  const bool hit = random_.chance(kLossPercent);
  if (mode_ == TableMode::kLate && writes && hit) {
    const auto late = static_cast<base::Millis>(random_.below(kLateDelay));
    events_.after(late, [work] { work(); });
    return;
  }
  base::Millis delay = kDelay;
  if (mode_ == TableMode::kSlow) delay += static_cast<base::Millis>(random_.below(kSlowDelay));
  const bool lost = mode_ == TableMode::kLosesAnswers && hit;
  events_.after(delay, [this, work, reply, lost] {
    const auto result = work();
    if (!lost) events_.after(kDelay, [reply, result] { reply(result); });
  });
}

}  // namespace sailgate::simulation
