/// @file Reads an engine's server-sent events of one attempt.
#pragma once

#include <cstdint>
#include <string>

#include "backend/backend_client.hpp"

namespace sailgate::backend {

/// Collects a streamed answer over one or more connections. Not thread-safe.
class EngineStream {
 public:
  EngineStream(std::int64_t attempt, const BackendClient::PieceHandler& on_piece)
      : attempt_(attempt), on_piece_(on_piece) {}

  /// Takes one line of the stream. @return false when reading should end: the answer is whole, the
  /// line belongs to another attempt, or the caller is gone.
  bool take_line(const std::string& line);

  bool whole() const { return whole_; }
  bool caller_gone() const { return caller_gone_; }
  /// Pieces received so far; the offset to resume from.
  std::int64_t offset() const { return offset_; }
  std::int64_t used_tokens() const { return used_tokens_; }
  const std::string& text() const { return text_; }

 private:
  std::int64_t attempt_;
  const BackendClient::PieceHandler& on_piece_;
  bool whole_ = false;
  bool caller_gone_ = false;
  std::int64_t offset_ = 0;
  std::int64_t used_tokens_ = 0;
  std::string text_;
};

}  // namespace sailgate::backend
