#include "ledger/turn_row.hpp"

#include <algorithm>

namespace sailgate::ledger {

namespace {

/// Predecessors that a row lists: one more round of reads for each so many turns of a chain, and
/// some 300 bytes of ids a row.
constexpr std::size_t kListedAncestors = 16;

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
       next != nullptr && ancestors.size() < kListedAncestors; next = next->previous.get()) {
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
