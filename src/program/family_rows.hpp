/// @file Rows of one family of programs in the table store.
///
/// One part holds them all: the family's record, conditionally written, and a row for each piece of
/// a call's texts, which never change. A further row says when somebody must look at the family.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "program/family_state.hpp"
#include "store/table_store.hpp"

namespace sailgate::program {

/// A family as the store had it.
struct StoredFamily {
  std::shared_ptr<const FamilyState> state;
  std::int64_t version = 0;             ///< of its record; 0: there is none
  std::vector<store::RowId> text_rows;  ///< all there are, also those of calls that were given up
};

/// Names, formats and sizes. Immutable.
class FamilyRows {
 public:
  /// @param partition_count number of partitions that families are spread over.
  explicit FamilyRows(std::int32_t partition_count) : parts_(partition_count) {}

  std::string partition_of(const std::string& family) const;
  std::int32_t partition_count() const { return parts_; }

  /// All rows of a family.
  store::RangeRead family_range(const std::string& family) const;
  /// @throws std::exception when a row cannot be read.
  StoredFamily load(const std::string& family, const std::vector<store::Row>& rows,
                    std::shared_ptr<const ProgramRules> rules) const;

  /// What stores the changes of `state`. nullopt: the family has become too large for its record.
  std::optional<store::Transaction> build_update(const std::string& family,
                                                 const FamilyState& state, std::int64_t version,
                                                 base::Millis due_at_unix) const;
  /// What removes a finished family, or a part of its texts when there are too many at once.
  store::Transaction build_removal(const std::string& family, const StoredFamily& stored) const;

  /// Families of a part with the times at which somebody must look at them.
  store::RangeRead due_range(std::int32_t part, const std::string& after) const;
  static base::Millis decode_due_time(const store::Row& row);

 private:
  store::RowId record_id(const std::string& family) const;
  store::RowId due_id(const std::string& family) const;

  std::int32_t parts_;
};

/// Longest text of a call that fits one transaction.
constexpr std::size_t kMaxTextBytes = 512U << 10U;

}  // namespace sailgate::program
