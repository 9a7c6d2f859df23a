/// @file Validation errors of entries in the engine list.
#pragma once

#include <stdexcept>
#include <string>

namespace sailgate::balancing {

/// What is wrong with an entry. Processes other than engines can write to the list, so its entries
/// must be validated.
enum class EntryFault {
  kUnreadable,     ///< not a JSON object
  kFieldMissing,   ///< a required field is missing
  kFieldMistyped,  ///< a field has the wrong type or is out of range
  kUnknownState,
  kNoAddress,     ///< the address cannot be parsed
  kStartMissing,  ///< no start time although the other engines report theirs
};

/// Stable name for logs.
inline const char* name_of(EntryFault fault) {
  switch (fault) {
    case EntryFault::kUnreadable:
      return "unreadable";
    case EntryFault::kFieldMissing:
      return "field_missing";
    case EntryFault::kFieldMistyped:
      return "field_mistyped";
    case EntryFault::kUnknownState:
      return "unknown_state";
    case EntryFault::kNoAddress:
      return "no_address";
    case EntryFault::kStartMissing:
      return "start_not_told";
  }
  return "";
}

/// Thrown for an entry that does not describe a usable engine.
class UnusableEntry : public std::runtime_error {
 public:
  /// @param field name of the invalid field; empty: the entry as a whole.
  explicit UnusableEntry(EntryFault fault, const std::string& field = "")
      : std::runtime_error(std::string(name_of(fault)) + (field.empty() ? "" : ": " + field)),
        fault_(fault) {}

  EntryFault fault() const { return fault_; }

 private:
  EntryFault fault_;
};

}  // namespace sailgate::balancing
