/// @file Rumors still to be passed on, each a limited number of times.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sailgate_types.h"

namespace sailgate::membership {

/// Queue that hands out the least-sent rumors first. Not thread-safe.
class RumorQueue {
 public:
  /// Adds a rumor, replacing an older one about the same subject.
  void push(const wire::Rumor& rumor);
  /// @return up to `limit` rumors; each is handed out at most `transmissions` times.
  std::vector<wire::Rumor> take(std::size_t limit, int transmissions);
  bool empty() const { return entries_.empty(); }

 private:
  struct Entry {
    wire::Rumor rumor;
    int sent = 0;
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace sailgate::membership
