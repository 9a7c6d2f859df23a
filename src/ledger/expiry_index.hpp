/// @file Index of the times at which rows of the ledger expire.
///
/// An index entry is written in the same transaction and partition as the row it refers to, so both
/// have the same version. Rewriting the row creates a newer version with its own entry. An entry
/// whose version differs from the row's version is therefore stale.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "store/table_store.hpp"

namespace sailgate::ledger {

inline constexpr const char* kExpiryTable = "expiry";

struct ExpiryEntry {
  std::int64_t expires_at = 0;  ///< time of the store's clock in milliseconds
  std::string table;
  std::string key;
};

/// Returns the key of an entry; keys sort by expiry time.
std::string encode_expiry_key(const ExpiryEntry& entry);
/// @return nullopt if the text is not a valid key.
std::optional<ExpiryEntry> decode_expiry_key(const std::string& text);
/// Returns the lower bound of the keys of entries that expire at `time` or later.
std::string first_expiry_key(std::int64_t time);

/// Returns the index row for an entry.
store::Row expiry_row(const std::string& part, const ExpiryEntry& entry);

}  // namespace sailgate::ledger
