#include "ledger/expiry_index.hpp"

#include <charconv>
#include <cstdio>

namespace sailgate::ledger {

namespace {

constexpr std::size_t kTimeDigits = 16;
constexpr char kSeparator = '/';

}  // namespace

std::string first_expiry_key(std::int64_t time) {
  char digits[kTimeDigits + 1];
  std::snprintf(digits, sizeof(digits), "%016lld", static_cast<long long>(time));
  return digits;
}

std::string encode_expiry_key(const ExpiryEntry& entry) {
  return first_expiry_key(entry.expires_at) + kSeparator + entry.table + kSeparator + entry.key;
}

std::optional<ExpiryEntry> decode_expiry_key(const std::string& text) {
  ExpiryEntry entry;
  if (text.size() <= kTimeDigits || text[kTimeDigits] != kSeparator) return std::nullopt;
  const auto* end = text.data() + kTimeDigits;
  const auto parsed = std::from_chars(text.data(), end, entry.expires_at);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  const auto table_end = text.find(kSeparator, kTimeDigits + 1);
  if (table_end == std::string::npos) return std::nullopt;
  entry.table = text.substr(kTimeDigits + 1, table_end - kTimeDigits - 1);
  entry.key = text.substr(table_end + 1);
  return entry;
}

store::Row expiry_row(const std::string& part, const ExpiryEntry& entry) {
  store::Row row;
  row.id = {kExpiryTable, part, encode_expiry_key(entry)};
  return row;
}

}  // namespace sailgate::ledger
