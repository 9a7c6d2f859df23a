#include "program/family_rows.hpp"

#include <algorithm>
#include <cstdio>
#include <map>

#include "base/digest.hpp"
#include "wire/codec.hpp"

namespace sailgate::program {

namespace {

constexpr const char* kProgramTable = "programs";
constexpr const char* kDueTable = "due";
constexpr char kTextSeparator = '/';
/// Follows the separator of texts, and that of sub-programs, in byte order.
constexpr char kAfterFamily = '0';
/// Raw bytes of one text row; a row takes 64 KiB.
constexpr std::size_t kTextRowBytes = 48'000;
/// A family's record may take this much of its row, and less when a program or call is added, so
/// that what was begun can always be ended.
constexpr std::size_t kRecordBytes = 65'000;
constexpr std::size_t kGrowingRecordBytes = 56'000;
/// A transaction takes 100 entries; some are the family's own.
constexpr std::size_t kRemovalsAtOnce = 90;

/// Digits of a piece's number, at the end of its key.
constexpr std::size_t kPieceDigits = 3;

std::string text_key(const TextChange& change, std::size_t piece) {
  char suffix[32];
  std::snprintf(suffix, sizeof(suffix), "%c%08d%c%c%03zu", kTextSeparator, change.sequence,
                kTextSeparator, change.result ? 'a' : 'q', piece);
  return change.program + suffix;
}

std::size_t pieces_of(const std::string& text) {
  return std::max<std::size_t>(1, (text.size() + kTextRowBytes - 1) / kTextRowBytes);
}

/// A call without its texts.
wire::CallRecord without_texts(const wire::CallRecord& call) {
  wire::CallRecord bare;
  bare.call.program = call.call.program;
  bare.call.sequence = call.call.sequence;
  bare.call.request_key = call.call.request_key;
  bare.call.request_digest = call.call.request_digest;
  bare.call.target_kind = call.call.target_kind;
  bare.call.target = call.call.target;
  bare.call.repeatable = call.call.repeatable;
  bare.call.reserved_tokens = call.call.reserved_tokens;
  bare.phase = call.phase;
  bare.attempt = call.attempt;
  bare.attempts = call.attempts;
  bare.backend = call.backend;
  bare.gateway = call.gateway;
  bare.gateway_address = call.gateway_address;
  bare.nonce = call.nonce;
  bare.outcome.outcome = call.outcome.outcome;
  bare.outcome.error = call.outcome.error;
  bare.outcome.used_tokens = call.outcome.used_tokens;
  bare.outcome.sequence = call.outcome.sequence;
  bare.deadline_in_ms = call.deadline_in_ms;
  bare.reservation_held = call.reservation_held;
  bare.started_at_unix_ms = call.started_at_unix_ms;
  return bare;
}

std::string encode_record(const FamilyState& state) {
  wire::FamilyRow row;
  row.attempts_started = state.attempts_started();
  for (const auto& [id, record] : state.programs()) {
    auto bare = record;
    bare.calls.clear();
    for (const auto& call : record.calls) bare.calls.push_back(without_texts(call));
    row.programs.push_back(std::move(bare));
  }
  return wire::encode(row);
}

void add_text(const std::string& part, const TextChange& change, store::Transaction& transaction) {
  for (std::size_t piece = 0; piece < pieces_of(change.text); ++piece) {
    const store::RowId id{kProgramTable, part, text_key(change, piece)};
    if (change.removed) {
      transaction.removals.push_back(id);
      continue;
    }
    store::Row row;
    row.id = id;
    row.value = change.text.substr(piece * kTextRowBytes, kTextRowBytes);
    transaction.puts.push_back(std::move(row));
  }
}

/// Texts of a family's calls by the beginning of their keys.
using Texts = std::map<std::string, std::string>;

std::string text_of(const Texts& texts, const wire::CallRecord& call, bool result) {
  TextChange wanted;
  wanted.program = call.call.program;
  wanted.sequence = call.call.sequence;
  wanted.result = result;
  auto key = text_key(wanted, 0);
  key.resize(key.size() - kPieceDigits);
  const auto found = texts.find(key);
  return found == texts.end() ? std::string() : found->second;
}

Texts join_pieces(const std::vector<store::Row>& rows) {
  Texts texts;
  for (const auto& row : rows) {
    if (row.id.key.find(kTextSeparator) == std::string::npos) continue;
    texts[row.id.key.substr(0, row.id.key.size() - kPieceDigits)] += row.value;
  }
  return texts;
}

}  // namespace

std::string FamilyRows::partition_of(const std::string& family) const {
  const auto digest = static_cast<std::uint64_t>(base::fast_digest(family));
  return std::to_string(digest % static_cast<std::uint64_t>(parts_));
}

store::RowId FamilyRows::record_id(const std::string& family) const {
  return {kProgramTable, partition_of(family), family};
}

store::RowId FamilyRows::due_id(const std::string& family) const {
  return {kDueTable, partition_of(family), family};
}

store::RangeRead FamilyRows::family_range(const std::string& family) const {
  store::RangeRead range;
  range.table = kProgramTable;
  range.part = partition_of(family);
  range.from_key = family;
  range.to_key = family + kAfterFamily;
  return range;
}

StoredFamily FamilyRows::load(const std::string& family, const std::vector<store::Row>& rows,
                              std::shared_ptr<const ProgramRules> rules) const {
  StoredFamily stored;
  auto state = std::make_shared<FamilyState>(std::move(rules));
  const auto texts = join_pieces(rows);
  for (const auto& row : rows) {
    if (row.id.key != family) {
      stored.text_rows.push_back(row.id);
      continue;
    }
    stored.version = row.version;
    auto record = wire::decode<wire::FamilyRow>(row.value);
    state->restore_attempts(record.attempts_started);
    for (auto& program : record.programs) {
      for (auto& call : program.calls) {
        call.call.request_body = text_of(texts, call, false);
        if (call.phase == wire::CallPhase::kDone) call.outcome.result = text_of(texts, call, true);
      }
      state->restore(std::move(program));
    }
  }
  stored.state = std::move(state);
  return stored;
}

std::optional<store::Transaction> FamilyRows::build_update(const std::string& family,
                                                           const FamilyState& state,
                                                           std::int64_t version,
                                                           base::Millis due_at_unix) const {
  store::Transaction transaction;
  transaction.conditions.push_back({record_id(family), version});
  store::Row record;
  record.id = record_id(family);
  record.value = encode_record(state);
  const auto limit = state.grew() ? kGrowingRecordBytes : kRecordBytes;
  if (record.value.size() > limit) return std::nullopt;
  transaction.puts.push_back(std::move(record));
  wire::DueRow due;
  due.due_at_unix_ms = due_at_unix;
  store::Row due_row;
  due_row.id = due_id(family);
  due_row.value = wire::encode(due);
  transaction.puts.push_back(std::move(due_row));
  for (const auto& change : state.text_changes())
    add_text(partition_of(family), change, transaction);
  return transaction;
}

store::Transaction FamilyRows::build_removal(const std::string& family,
                                             const StoredFamily& stored) const {
  store::Transaction transaction;
  transaction.conditions.push_back({record_id(family), stored.version});
  const auto count = std::min(stored.text_rows.size(), kRemovalsAtOnce);
  transaction.removals.assign(stored.text_rows.begin(),
                              stored.text_rows.begin() + static_cast<std::ptrdiff_t>(count));
  if (count < stored.text_rows.size()) return transaction;
  transaction.removals.push_back(record_id(family));
  transaction.removals.push_back(due_id(family));
  return transaction;
}

store::RangeRead FamilyRows::due_range(std::int32_t part, const std::string& after) const {
  store::RangeRead range;
  range.table = kDueTable;
  range.part = std::to_string(part);
  if (!after.empty()) range.from_key = after + '\0';
  return range;
}

base::Millis FamilyRows::decode_due_time(const store::Row& row) {
  return wire::decode<wire::DueRow>(row.value).due_at_unix_ms;
}

}  // namespace sailgate::program
