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
/// Exclusive end of a family's key range. In byte order it follows the separator of texts ('/') and
/// that of sub-programs ('.').
constexpr char kFamilyRangeEnd = '0';
/// Raw bytes per text row; the store limits a row to 64 KiB.
constexpr std::size_t kMaxTextRowBytes = 48'000;
/// Maximum size of a family's record. The limit is lower for changes that add a program or call, so
/// that there is always room to finish calls that have started.
constexpr std::size_t kMaxRecordBytes = 65'000;
constexpr std::size_t kMaxGrowingRecordBytes = 56'000;
/// The store limits a transaction to 100 entries; some are needed for the record and the due row.
constexpr std::size_t kMaxTextRemovals = 90;

/// Digits of the chunk number at the end of a text key.
constexpr std::size_t kChunkDigits = 3;

std::string text_key(const TextChange& change, std::size_t chunk) {
  char suffix[32];
  std::snprintf(suffix, sizeof(suffix), "%c%08d%c%c%03zu", kTextSeparator, change.sequence,
                kTextSeparator, change.result ? 'a' : 'q', chunk);
  return change.program + suffix;
}

std::size_t chunk_count(const std::string& text) {
  return std::max<std::size_t>(1, (text.size() + kMaxTextRowBytes - 1) / kMaxTextRowBytes);
}

/// Copies a call without its request body and result, which have rows of their own.
wire::CallRecord without_texts(const wire::CallRecord& call) {
  wire::CallRecord stripped;
  stripped.call.program = call.call.program;
  stripped.call.sequence = call.call.sequence;
  stripped.call.request_key = call.call.request_key;
  stripped.call.request_digest = call.call.request_digest;
  stripped.call.target_kind = call.call.target_kind;
  stripped.call.target = call.call.target;
  stripped.call.repeatable = call.call.repeatable;
  stripped.call.reserved_tokens = call.call.reserved_tokens;
  stripped.phase = call.phase;
  stripped.attempt = call.attempt;
  stripped.attempts = call.attempts;
  stripped.backend = call.backend;
  stripped.gateway = call.gateway;
  stripped.gateway_address = call.gateway_address;
  stripped.nonce = call.nonce;
  stripped.outcome.outcome = call.outcome.outcome;
  stripped.outcome.error = call.outcome.error;
  stripped.outcome.used_tokens = call.outcome.used_tokens;
  stripped.outcome.sequence = call.outcome.sequence;
  stripped.deadline_in_ms = call.deadline_in_ms;
  stripped.reservation_held = call.reservation_held;
  stripped.started_at_unix_ms = call.started_at_unix_ms;
  return stripped;
}

std::string encode_record(const FamilyState& state) {
  wire::FamilyRow row;
  row.attempts_started = state.attempts_started();
  for (const auto& [id, record] : state.programs()) {
    auto stripped = record;
    stripped.calls.clear();
    for (const auto& call : record.calls) stripped.calls.push_back(without_texts(call));
    row.programs.push_back(std::move(stripped));
  }
  return wire::encode(row);
}

void add_text(const std::string& partition, const TextChange& change,
              store::Transaction& transaction) {
  for (std::size_t chunk = 0; chunk < chunk_count(change.text); ++chunk) {
    const store::RowId id{kProgramTable, partition, text_key(change, chunk)};
    if (change.removed) {
      transaction.removals.push_back(id);
      continue;
    }
    store::Row row;
    row.id = id;
    row.value = change.text.substr(chunk * kMaxTextRowBytes, kMaxTextRowBytes);
    transaction.puts.push_back(std::move(row));
  }
}

/// Texts of a family's calls, by their key without the chunk number.
using Texts = std::map<std::string, std::string>;

std::string text_of(const Texts& texts, const wire::CallRecord& call, bool result) {
  TextChange key_fields;
  key_fields.program = call.call.program;
  key_fields.sequence = call.call.sequence;
  key_fields.result = result;
  auto key = text_key(key_fields, 0);
  key.resize(key.size() - kChunkDigits);
  const auto found = texts.find(key);
  return found == texts.end() ? std::string() : found->second;
}

Texts join_chunks(const std::vector<store::Row>& rows) {
  Texts texts;
  for (const auto& row : rows) {
    if (row.id.key.find(kTextSeparator) == std::string::npos) continue;
    texts[row.id.key.substr(0, row.id.key.size() - kChunkDigits)] += row.value;
  }
  return texts;
}

}  // namespace

std::string FamilyRows::partition_of(const std::string& family) const {
  const auto digest = static_cast<std::uint64_t>(base::fast_digest(family));
  return std::to_string(digest % static_cast<std::uint64_t>(partition_count_));
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
  range.to_key = family + kFamilyRangeEnd;
  return range;
}

StoredFamily FamilyRows::load(const std::string& family, const std::vector<store::Row>& rows,
                              std::shared_ptr<const ProgramRules> rules) const {
  StoredFamily stored;
  auto state = std::make_shared<FamilyState>(std::move(rules));
  const auto texts = join_chunks(rows);
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
  const auto limit = state.grew() ? kMaxGrowingRecordBytes : kMaxRecordBytes;
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
  const auto count = std::min(stored.text_rows.size(), kMaxTextRemovals);
  transaction.removals.assign(stored.text_rows.begin(),
                              stored.text_rows.begin() + static_cast<std::ptrdiff_t>(count));
  if (count < stored.text_rows.size()) return transaction;
  transaction.removals.push_back(record_id(family));
  transaction.removals.push_back(due_id(family));
  return transaction;
}

store::RangeRead FamilyRows::due_range(std::int32_t partition, const std::string& after) const {
  store::RangeRead range;
  range.table = kDueTable;
  range.part = std::to_string(partition);
  if (!after.empty()) range.from_key = after + '\0';
  return range;
}

base::Millis FamilyRows::decode_due_time(const store::Row& row) {
  return wire::decode<wire::DueRow>(row.value).due_at_unix_ms;
}

}  // namespace sailgate::program
