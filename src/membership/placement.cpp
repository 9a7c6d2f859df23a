#include "membership/placement.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

#include "base/digest.hpp"

namespace sailgate::membership {
namespace {

/// A member may hold this many times the average number of replicas, plus kCapSlack.
constexpr double kCapFactor = 1.25;
constexpr double kCapSlack = 2.0;

/// Rendezvous weight of a member for a key.
std::uint64_t weight(std::int64_t key, std::int64_t member) {
  const std::array<std::int64_t, 2> pair{key, member};
  return static_cast<std::uint64_t>(base::fast_digest(
      std::string_view(reinterpret_cast<const char*>(pair.data()), sizeof(pair))));
}

std::int64_t group_key(const std::vector<wire::Member>& group) {
  std::set<std::int64_t> ids;
  for (const auto& member : group) ids.insert(member.id);
  std::string key;
  for (const auto id : ids) key += std::to_string(id) + ',';
  return base::fast_digest(key);
}

}  // namespace

ReplicaCounts count_replicas(const std::map<std::int32_t, wire::SlotRumor>& slots) {
  ReplicaCounts counts;
  for (const auto& [slot, rumor] : slots) {
    for (const auto member : rumor.members) ++counts[member];
  }
  return counts;
}

std::optional<wire::Member> choose_founder(std::int32_t slot,
                                           const std::vector<wire::Member>& usable) {
  if (usable.empty()) return std::nullopt;
  const std::int64_t key = slot;
  return *std::max_element(usable.begin(), usable.end(),
                           [key](const wire::Member& left, const wire::Member& right) {
                             return weight(key, left.id) < weight(key, right.id);
                           });
}

std::optional<wire::Member> choose_addition(const std::vector<wire::Member>& group,
                                            const std::vector<wire::Member>& usable,
                                            const ReplicaCounts& counts) {
  std::size_t total = 0;
  for (const auto& [member, count] : counts) total += count;
  const double average =
      usable.empty() ? 0.0 : static_cast<double>(total) / static_cast<double>(usable.size());
  const double cap = average * kCapFactor + kCapSlack;
  std::set<std::string> zones;
  std::set<std::int64_t> present;
  for (const auto& member : group) {
    zones.insert(member.zone);
    present.insert(member.id);
  }
  const auto key = group_key(group);
  // New zone first, then room, then the rendezvous weight.
  using Rank = std::tuple<bool, bool, std::uint64_t>;
  std::optional<wire::Member> best;
  Rank best_rank;
  for (const auto& member : usable) {
    if (present.count(member.id) > 0) continue;
    const auto found = counts.find(member.id);
    const double held = found == counts.end() ? 0.0 : static_cast<double>(found->second);
    const Rank rank{zones.count(member.zone) == 0, held <= cap, weight(key, member.id)};
    if (best && rank <= best_rank) continue;
    best = member;
    best_rank = rank;
  }
  return best;
}

}  // namespace sailgate::membership
