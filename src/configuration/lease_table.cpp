#include "configuration/lease_table.hpp"

#include <algorithm>

namespace sailgate::configuration {
namespace {

/// Margin for clocks that run at different speeds, in percent of the lease.
constexpr base::Millis kDriftMarginPercent = 12;

}  // namespace

base::Millis LeaseTable::longest() const {
  return knobs_.configuration_lease * (100 + kDriftMarginPercent) / 100;
}

void LeaseTable::begin(base::Millis now) {
  leases_.clear();
  unknown_until_ = now + longest();
}

void LeaseTable::renewed(std::int64_t member, std::int64_t generation, base::Millis now) {
  auto& lease = leases_[member];
  // NOTE: requests may arrive out of order; a node's generation only grows.
  lease.generation = std::max(lease.generation, generation);
  lease.until = now + longest();
}

bool LeaseTable::in_force_everywhere(std::int64_t generation, base::Millis now) const {
  if (now < unknown_until_) return false;
  return std::all_of(leases_.begin(), leases_.end(), [&](const auto& entry) {
    return entry.second.generation >= generation || entry.second.until <= now;
  });
}

}  // namespace sailgate::configuration
