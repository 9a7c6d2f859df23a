/// @file Newest known rumor per member, slot and back end, with digests for reconciliation.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sailgate_types.h"

namespace sailgate::membership {

/// Mergeable table: the same rumors in any order give the same table. Not thread-safe.
class RumorTable {
 public:
  static constexpr std::size_t kBuckets = 32;
  using Digests = std::vector<std::int64_t>;

  /// Takes a rumor over when it is newer than what is known. @return whether it was.
  bool merge(const wire::Rumor& rumor);
  /// Forgets a member that has been dead long enough.
  void erase_member(std::int64_t member);

  const std::map<std::int64_t, wire::MemberRumor>& members() const { return members_; }
  const std::map<std::int32_t, wire::SlotRumor>& slots() const { return slots_; }
  const std::map<std::string, wire::BackendRumor>& backends() const { return backends_; }
  const wire::MemberRumor* find_member(std::int64_t member) const;
  const wire::SlotRumor* find_slot(std::int32_t slot) const;

  /// One order-independent digest per bucket.
  Digests digests() const { return {digests_.begin(), digests_.end()}; }
  /// Rumors of the buckets in which `theirs` differs; all of them when its size is wrong.
  std::vector<wire::Rumor> rumors_differing_from(const Digests& theirs) const;

 private:
  void toggle(const wire::Rumor& rumor);

  std::map<std::int64_t, wire::MemberRumor> members_;
  std::map<std::int32_t, wire::SlotRumor> slots_;
  std::map<std::string, wire::BackendRumor> backends_;
  std::array<std::int64_t, kBuckets> digests_{};
};

/// Rumor of one kind as the union that travels.
wire::Rumor as_rumor(const wire::MemberRumor& rumor);
wire::Rumor as_rumor(const wire::SlotRumor& rumor);
wire::Rumor as_rumor(const wire::BackendRumor& rumor);

/// Identity of what a rumor speaks of: a newer rumor with the same subject replaces it.
std::string rumor_subject(const wire::Rumor& rumor);

}  // namespace sailgate::membership
