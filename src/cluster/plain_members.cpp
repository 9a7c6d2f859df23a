#include "cluster/plain_members.hpp"

#include <algorithm>

namespace sailgate::cluster {

namespace {

constexpr std::size_t kIdBytes = 4;
constexpr std::size_t kEntryBytes = kIdBytes + 1;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint32_t kByteMask = 0xFF;
constexpr std::int64_t kSilenceUnitMs = 8;
constexpr std::int64_t kMaxSilenceUnits = 255;

void append_entry(const PlainMember& member, std::string& bytes) {
  for (std::size_t i = 0; i < kIdBytes; ++i) {
    bytes.push_back(static_cast<char>((member.short_id >> (kBitsPerByte * i)) & kByteMask));
  }
  const auto units = (member.silence.count() + kSilenceUnitMs - 1) / kSilenceUnitMs;
  bytes.push_back(static_cast<char>(std::clamp<std::int64_t>(units, 0, kMaxSilenceUnits)));
}

PlainMember read_entry(const std::string& bytes, std::size_t at) {
  const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(bytes[at + i]); };
  PlainMember member;
  for (std::size_t i = 0; i < kIdBytes; ++i) {
    member.short_id |= static_cast<std::uint32_t>(byte(i)) << (kBitsPerByte * i);
  }
  member.silence = net::Millis(byte(kIdBytes) * kSilenceUnitMs);
  return member;
}

}  // namespace

std::string encode_plain_members(const std::vector<PlainMember>& members) {
  std::string bytes;
  bytes.reserve(members.size() * kEntryBytes);
  for (const auto& member : members) append_entry(member, bytes);
  return bytes;
}

std::vector<PlainMember> decode_plain_members(const std::string& bytes) {
  std::vector<PlainMember> members;
  for (std::size_t at = 0; at + kEntryBytes <= bytes.size(); at += kEntryBytes) {
    members.push_back(read_entry(bytes, at));
  }
  return members;
}

}  // namespace sailgate::cluster
