#include "admission/fair_share.hpp"

#include <algorithm>
#include <vector>

namespace sailgate::admission {

double fair_level(const BegunByTenant& begun, double room) {
  std::vector<int> counts;
  counts.reserve(begun.size());
  for (const auto& [tenant, count] : begun) counts.push_back(count);
  std::sort(counts.begin(), counts.end());
  double left = room;
  for (std::size_t place = 0; place < counts.size(); ++place) {
    const double level = left / static_cast<double>(counts.size() - place);
    if (level < counts[place]) return level;
    left -= counts[place];
  }
  return counts.empty() ? 0 : counts.back();
}

double room_at(const BegunByTenant& begun, double shortage) {
  double sum = 0;
  for (const auto& [tenant, count] : begun) sum += count;
  return sum * (1 - shortage);
}

}  // namespace sailgate::admission
