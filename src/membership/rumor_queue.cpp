#include "membership/rumor_queue.hpp"

#include <algorithm>

#include "membership/rumor_table.hpp"

namespace sailgate::membership {

void RumorQueue::push(const wire::Rumor& rumor) {
  entries_[rumor_subject(rumor)] = Entry{rumor, 0};
}

std::vector<wire::Rumor> RumorQueue::take(std::size_t limit, int transmissions) {
  using Iterator = std::map<std::string, Entry>::iterator;
  std::vector<Iterator> order;
  order.reserve(entries_.size());
  for (auto it = entries_.begin(); it != entries_.end(); ++it) order.push_back(it);
  const std::size_t count = std::min(limit, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
                    [](const Iterator& left, const Iterator& right) {
                      return left->second.sent < right->second.sent;
                    });
  std::vector<wire::Rumor> taken;
  for (std::size_t i = 0; i < count; ++i) {
    auto& entry = order[i]->second;
    taken.push_back(entry.rumor);
    ++entry.sent;
    if (entry.sent >= transmissions) entries_.erase(order[i]);
  }
  return taken;
}

}  // namespace sailgate::membership
