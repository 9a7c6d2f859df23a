/// @file When rows of the ledger may be removed, as rows of an index.
///
/// An entry is written in the same transaction as the row it is about, in the same part, so both
/// have one version. A row that was written again since has a newer version, and an entry of its
/// own: an entry whose version is not the row's is out of date.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "store/table_store.hpp"

namespace sailgate::ledger {

inline constexpr const char* kExpiryTable = "expiry";

struct ExpiryEntry {
  std::int64_t expires_at = 0;  ///< by the store's clock, in milliseconds
  std::string table;
  std::string key;
};

/// Key of an entry; keys are in order of time.
std::string encode_expiry_key(const ExpiryEntry& entry);
/// @return nullopt when the text is no such key.
std::optional<ExpiryEntry> decode_expiry_key(const std::string& text);
/// First key of entries that expire at `time` or later.
std::string first_expiry_key(std::int64_t time);

/// The index row of an entry.
store::Row expiry_row(const std::string& part, const ExpiryEntry& entry);

}  // namespace sailgate::ledger
