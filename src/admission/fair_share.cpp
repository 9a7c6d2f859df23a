#include "admission/fair_share.hpp"

#include <algorithm>
#include <vector>

namespace sailgate::admission {

double fair_level(const ProgramStartsByTenant& starts, double room) {
  std::vector<int> counts;
  counts.reserve(starts.size());
  for (const auto& [tenant, count] : starts) counts.push_back(count);
  std::sort(counts.begin(), counts.end());
  double remaining = room;
  for (std::size_t index = 0; index < counts.size(); ++index) {
    const double level = remaining / static_cast<double>(counts.size() - index);
    if (level < counts[index]) return level;
    remaining -= counts[index];
  }
  return counts.empty() ? 0 : counts.back();
}

double allowed_starts(const ProgramStartsByTenant& starts, double shortage) {
  double sum = 0;
  for (const auto& [tenant, count] : starts) sum += count;
  return sum * (1 - shortage);
}

}  // namespace sailgate::admission
