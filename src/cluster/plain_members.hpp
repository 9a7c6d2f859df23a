/// @file Compact encoding of a zone's members that are merely alive.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/asio.hpp"

namespace sailgate::cluster {

/// A live node that reaches the store, does not step aside and owns no program shards: nearly all
/// nodes of a large zone. It takes 5 bytes of a summary, where a full entry takes 20 and more.
struct PlainMember {
  std::uint32_t short_id = 0;  ///< see short_id_of()
  net::Millis silence{0};      ///< time since it was heard; limited to two seconds, rounded up
};

/// Low bits of an incarnation, which is random. Two of 1,000 nodes share them in one fleet of
/// 8,000.
inline std::uint32_t short_id_of(std::int64_t incarnation) {
  return static_cast<std::uint32_t>(incarnation);
}

std::string encode_plain_members(const std::vector<PlainMember>& members);
/// An incomplete entry at the end is ignored.
std::vector<PlainMember> decode_plain_members(const std::string& bytes);

}  // namespace sailgate::cluster
