#include "ledger/turn_row.hpp"

#include <algorithm>
#include <stdexcept>

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

}  // namespace

wire::TurnRow encode_turn(const Turn& turn) {
  wire::TurnRow row;
  row.segments.push_back(segment_of(turn));
  std::size_t size = turn.input.size() + turn.output.size();
  const Turn* next = turn.previous.get();
  while (next != nullptr) {
    size += next->input.size() + next->output.size();
    if (size > kRowBytes) break;
    row.segments.push_back(segment_of(*next));
    next = next->previous.get();
  }
  if (next != nullptr) row.earlier = next->id;
  std::reverse(row.segments.begin(), row.segments.end());
  return row;
}

TurnPointer decode_turn(const wire::TurnRow& row, TurnPointer earlier) {
  if (row.segments.empty()) throw std::invalid_argument("a turn's row has no segments");
  TurnPointer last = std::move(earlier);
  for (const auto& segment : row.segments) {
    last = std::make_shared<const Turn>(
        Turn{segment.turn, segment.input, segment.output, std::move(last)});
  }
  return last;
}

}  // namespace sailgate::ledger
