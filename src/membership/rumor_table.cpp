#include "membership/rumor_table.hpp"

#include <tuple>

#include "base/digest.hpp"
#include "wire/codec.hpp"

namespace sailgate::membership {
namespace {

std::size_t bucket_of(const wire::Rumor& rumor) {
  const auto digest = static_cast<std::uint64_t>(base::fast_digest(rumor_subject(rumor)));
  return digest % RumorTable::kBuckets;
}

bool newer(const wire::MemberRumor& left, const wire::MemberRumor& right) {
  return std::tie(left.counter, left.status) > std::tie(right.counter, right.status);
}

bool newer(const wire::SlotRumor& left, const wire::SlotRumor& right) {
  return std::tie(left.epoch, left.view, left.members_index) >
         std::tie(right.epoch, right.view, right.members_index);
}

bool newer(const wire::BackendRumor& left, const wire::BackendRumor& right) {
  return left.counter > right.counter;
}

}  // namespace

wire::Rumor as_rumor(const wire::MemberRumor& rumor) {
  wire::Rumor result;
  result.__set_member(rumor);
  return result;
}

wire::Rumor as_rumor(const wire::SlotRumor& rumor) {
  wire::Rumor result;
  result.__set_slot(rumor);
  return result;
}

wire::Rumor as_rumor(const wire::BackendRumor& rumor) {
  wire::Rumor result;
  result.__set_backend(rumor);
  return result;
}

std::string rumor_subject(const wire::Rumor& rumor) {
  if (rumor.__isset.member) return "m" + std::to_string(rumor.member.member.id);
  if (rumor.__isset.slot) return "s" + std::to_string(rumor.slot.slot);
  return "b" + rumor.backend.backend;
}

bool RumorTable::merge(const wire::Rumor& rumor) {
  const auto take = [this](auto& table, const auto& key, const auto& value) {
    const auto found = table.find(key);
    if (found != table.end()) {
      if (!newer(value, found->second)) return false;
      toggle(as_rumor(found->second));
    }
    table[key] = value;
    toggle(as_rumor(value));
    return true;
  };
  if (rumor.__isset.member) return take(members_, rumor.member.member.id, rumor.member);
  if (rumor.__isset.slot) return take(slots_, rumor.slot.slot, rumor.slot);
  if (rumor.__isset.backend) return take(backends_, rumor.backend.backend, rumor.backend);
  return false;
}

void RumorTable::erase_member(std::int64_t member) {
  const auto found = members_.find(member);
  if (found == members_.end()) return;
  toggle(as_rumor(found->second));
  members_.erase(found);
}

const wire::MemberRumor* RumorTable::find_member(std::int64_t member) const {
  const auto found = members_.find(member);
  return found == members_.end() ? nullptr : &found->second;
}

const wire::SlotRumor* RumorTable::find_slot(std::int32_t slot) const {
  const auto found = slots_.find(slot);
  return found == slots_.end() ? nullptr : &found->second;
}

std::vector<wire::Rumor> RumorTable::rumors_differing_from(const Digests& theirs) const {
  std::vector<wire::Rumor> result;
  const auto differs = [&](const wire::Rumor& rumor) {
    const auto bucket = bucket_of(rumor);
    return theirs.size() != kBuckets || theirs[bucket] != digests_.at(bucket);
  };
  const auto collect = [&](const auto& table) {
    for (const auto& [key, value] : table) {
      auto rumor = as_rumor(value);
      if (differs(rumor)) result.push_back(std::move(rumor));
    }
  };
  collect(members_);
  collect(slots_);
  collect(backends_);
  return result;
}

/// Adds or takes out one rumor's digest; exclusive or makes the order irrelevant.
void RumorTable::toggle(const wire::Rumor& rumor) {
  digests_.at(bucket_of(rumor)) ^= base::fast_digest(wire::encode(rumor));
}

}  // namespace sailgate::membership
