#include "ledger/turn_row.hpp"

#include <algorithm>

namespace sailgate::ledger {

namespace {

/// Maximum number of ancestors listed in a row. A chain takes one more round of reads for each
/// further group of this many turns, and a row takes about 300 bytes for the IDs.
constexpr std::size_t kMaxListedAncestors = 16;

wire::TurnSegment segment_of(const Turn& turn, std::int64_t expires_at) {
  wire::TurnSegment segment;
  segment.turn = turn.id;
  segment.input = turn.input;
  segment.output = turn.output;
  segment.row_expires_at = expires_at;
  return segment;
}

}  // namespace

wire::TurnRow encode_turn(const Turn& turn, std::int64_t expires_at) {
  wire::TurnRow row;
  row.segments.push_back(segment_of(turn, expires_at));
  if (turn.previous == nullptr) return row;
  row.earlier = turn.previous->id;
  std::vector<std::string> ancestors;
  for (const Turn* next = turn.previous.get();
       next != nullptr && ancestors.size() < kMaxListedAncestors; next = next->previous.get()) {
    ancestors.push_back(next->id);
  }
  row.ancestors = std::move(ancestors);
  row.__isset.ancestors = true;
  return row;
}

wire::TurnRow encode_chain(const Turn& turn) {
  wire::TurnRow row;
  for (const Turn* next = &turn; next != nullptr; next = next->previous.get()) {
    row.segments.push_back(segment_of(*next, next->row_expires_at));
  }
  std::reverse(row.segments.begin(), row.segments.end());
  return row;
}

}  // namespace sailgate::ledger
