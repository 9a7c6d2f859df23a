#include "net/response_head.hpp"

namespace sailgate::net {

namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kHttp11 = 11;

/// A coding that is not understood leaves the end of the body or its bytes unknown.
bool transfer_coding_understood(const http::response_header<>& head) {
  const auto codings = head.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  return codings == 1 && head.version() == kHttp11 &&
         beast::iequals(head[http::field::transfer_encoding], "chunked");
}

}  // namespace

ResponseHead classify(const http::response_header<>& head) {
  const auto status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) return ResponseHead::kInvalid;
  if (status == kSwitchingProtocols) return ResponseHead::kInvalid;
  if (!transfer_coding_understood(head)) return ResponseHead::kInvalid;
  return status < kMinFinalStatus ? ResponseHead::kInterim : ResponseHead::kFinal;
}

}  // namespace sailgate::net
