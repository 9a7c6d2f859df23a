/// @file Entries of the list of engines that name no engine to use.
#pragma once

#include <stdexcept>
#include <string>

namespace sailgate::balancing {

/// Others than engines may write into the list. Closed list of what is wrong with an entry.
enum class EntryFault {
  kUnreadable,     ///< bytes that are no object
  kFieldMissing,   ///< a field that every engine tells is not there
  kFieldMistyped,  ///< a field is of another type, or outside its range
  kUnknownState,
  kNoAddress,     ///< the address cannot be read
  kStartMissing,  ///< the other engines tell their starts
};

/// Stable name, for logs.
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

/// An entry names no engine to use.
class UnusableEntry : public std::runtime_error {
 public:
  /// @param field that is at fault; empty: the whole entry.
  explicit UnusableEntry(EntryFault fault, const std::string& field = "")
      : std::runtime_error(std::string(name_of(fault)) + (field.empty() ? "" : ": " + field)),
        fault_(fault) {}

  EntryFault fault() const { return fault_; }

 private:
  EntryFault fault_;
};

}  // namespace sailgate::balancing
