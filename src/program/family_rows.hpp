/// @file Mapping of a program family to rows of the table store.
///
/// All rows of a family are in one partition: the family's record, which is written conditionally,
/// and immutable rows with the request and result texts of its calls, split into chunks. One more
/// row holds the time at which the family next needs maintenance.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "program/family_state.hpp"
#include "store/table_store.hpp"

namespace sailgate::program {

/// A family as last read from or written to the store.
struct StoredFamily {
  std::shared_ptr<const FamilyState> state;
  std::int64_t version = 0;             ///< version of the family's record; 0 if there is none
  std::vector<store::RowId> text_rows;  ///< all text rows, including those of discarded calls
};

/// Row keys, encodings and size limits. Immutable.
class FamilyRows {
 public:
  /// @param partition_count number of partitions that families are spread over.
  explicit FamilyRows(std::int32_t partition_count) : partition_count_(partition_count) {}

  std::string partition_of(const std::string& family) const;
  std::int32_t partition_count() const { return partition_count_; }

  /// Range of the family's record and texts.
  store::RangeRead family_range(const std::string& family) const;
  /// Decodes the rows of `family_range`. @throws std::exception if a row cannot be decoded.
  StoredFamily load(const std::string& family, const std::vector<store::Row>& rows,
                    std::shared_ptr<const ProgramRules> rules) const;

  /// Transaction that stores the changes of `state`, conditional on the record's `version`.
  /// @return nullopt if the record would exceed its size limit.
  std::optional<store::Transaction> build_update(const std::string& family,
                                                 const FamilyState& state, std::int64_t version,
                                                 base::Millis due_at_unix) const;
  /// Transaction that removes a finished family. If it has more text rows than fit one transaction,
  /// only some of these are removed, and the caller must load the family and repeat.
  store::Transaction build_removal(const std::string& family, const StoredFamily& stored) const;

  /// Range of the maintenance times of a partition's families, starting after family `after`.
  store::RangeRead due_range(std::int32_t partition, const std::string& after) const;
  static base::Millis decode_due_time(const store::Row& row);

 private:
  store::RowId record_id(const std::string& family) const;
  store::RowId due_id(const std::string& family) const;

  std::int32_t partition_count_;
};

/// Maximum size of a call's request or result that fits one transaction.
constexpr std::size_t kMaxTextBytes = 512U << 10U;

}  // namespace sailgate::program
