#include "ledger/turn_row.hpp"

#include <algorithm>
#include <cstdint>

namespace sailgate::ledger {

namespace {

/// Predecessors are copied into a row up to this many bytes in all.
constexpr std::size_t kRowBytes = 16U << 10U;

wire::TurnSegment segment_of(const Turn& turn) {
  wire::TurnSegment segment;
  segment.turn = turn.id;
  segment.input = turn.input;
  segment.output = turn.output;
  segment.row_expires_at = turn.row_expires_at;
  return segment;
}

/// The newest predecessor that does not fit beside the turn into `byte_limit` bytes.
TurnPointer first_beyond(const Turn& turn, std::size_t byte_limit) {
  std::size_t size = turn.input.size() + turn.output.size();
  for (TurnPointer next = turn.previous; next != nullptr; next = next->previous) {
    size += next->input.size() + next->output.size();
    if (size > byte_limit) return next;
  }
  return nullptr;
}

/// Copies predecessors until the segments hold `byte_limit` bytes.
wire::TurnRow encode_up_to(const Turn& turn, std::size_t byte_limit) {
  wire::TurnRow row;
  const auto beyond = first_beyond(turn, byte_limit);
  for (const Turn* next = &turn; next != beyond.get(); next = next->previous.get()) {
    row.segments.push_back(segment_of(*next));
  }
  if (beyond != nullptr) row.earlier = beyond->id;
  std::reverse(row.segments.begin(), row.segments.end());
  return row;
}

}  // namespace

TurnPointer first_outside_row(const Turn& turn) { return first_beyond(turn, kRowBytes); }

wire::TurnRow encode_turn(const Turn& turn) { return encode_up_to(turn, kRowBytes); }

wire::TurnRow encode_whole_chain(const Turn& turn) { return encode_up_to(turn, SIZE_MAX); }

}  // namespace sailgate::ledger
