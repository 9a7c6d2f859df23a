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
  return segment;
}

/// Copies predecessors until the segments hold `byte_limit` bytes.
wire::TurnRow encode_up_to(const Turn& turn, std::size_t byte_limit) {
  wire::TurnRow row;
  row.segments.push_back(segment_of(turn));
  std::size_t size = turn.input.size() + turn.output.size();
  const Turn* next = turn.previous.get();
  while (next != nullptr) {
    size += next->input.size() + next->output.size();
    if (size > byte_limit) break;
    row.segments.push_back(segment_of(*next));
    next = next->previous.get();
  }
  if (next != nullptr) row.earlier = next->id;
  std::reverse(row.segments.begin(), row.segments.end());
  return row;
}

}  // namespace

wire::TurnRow encode_turn(const Turn& turn) { return encode_up_to(turn, kRowBytes); }

wire::TurnRow encode_whole_chain(const Turn& turn) { return encode_up_to(turn, SIZE_MAX); }

}  // namespace sailgate::ledger
