#include "serving/request_fingerprint.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <initializer_list>
#include <string_view>

namespace sailgate::serving {

namespace {

std::string_view view(net::beast::string_view text) { return {text.data(), text.size()}; }

/// Each text with its length in front, so that no two lists of texts look alike.
std::string join(std::initializer_list<std::string_view> texts) {
  std::string joined;
  for (const auto text : texts) {
    joined += std::to_string(text.size());
    joined += ':';
    joined += text;
  }
  return joined;
}

XXH128_hash_t hash(std::string_view bytes, XXH64_hash_t seed) {
  return XXH3_128bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace

const std::string& request_fingerprint(Call& call) {
  if (!call.fingerprint.empty()) return call.fingerprint;
  const auto& request = call.request;
  const auto& description = call.description;
  const auto body = hash(request.body(), 0);
  const auto head = join({call.tenant_name(), view(request.method_string()),
                          view(request[net::http::field::host]), view(request.target()),
                          description.program, description.line, description.previous_turn});
  const auto whole = hash(head, body.low64 ^ body.high64);
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(whole.high64),
                static_cast<unsigned long long>(whole.low64));
  call.fingerprint = text.data();
  return call.fingerprint;
}

}  // namespace sailgate::serving
