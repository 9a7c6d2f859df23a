#include "backend/engine_stream.hpp"

#include <cpprest/json.h>

namespace sailgate::backend {
namespace {

constexpr const char* kDataPrefix = "data: ";
constexpr std::size_t kDataPrefixLength = 6;

}  // namespace

bool EngineStream::take_line(const std::string& line) {
  if (line.compare(0, kDataPrefixLength, kDataPrefix) != 0) return true;
  const auto payload = line.substr(kDataPrefixLength);
  if (payload.rfind("[DONE]", 0) == 0) return false;
  try {
    const auto event = web::json::value::parse(payload);
    if (event.at("attempt").as_string() != std::to_string(attempt_)) return false;
    if (event.has_field("usage")) {
      used_tokens_ = event.at("usage").at("completion_tokens").as_number().to_int64();
      whole_ = true;
      return false;
    }
    // The position guards against a piece sent twice or skipped after a resume.
    if (event.at("position").as_number().to_int64() != offset_) return true;
    const auto piece = event.at("choices").at(0).at("delta").at("content").as_string();
    ++offset_;
    text_ += piece;
    if (on_piece_ && !on_piece_(piece)) {
      caller_gone_ = true;
      return false;
    }
  } catch (const std::exception&) {
    // A damaged event ends this connection; the rest is fetched by resuming.
    return false;
  }
  return true;
}

}  // namespace sailgate::backend
