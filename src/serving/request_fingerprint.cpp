#include "serving/request_fingerprint.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <initializer_list>
#include <string_view>
#include <vector>

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

/// Headers about a connection, or that callers and proxies choose anew for each attempt.
constexpr std::array kAttemptHeaders{
    "host",
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "upgrade",
    "transfer-encoding",
    "expect",
    "date",
    "age",
    "content-length",
    "proxy-connection",
    "via",
    "forwarded",
    "x-forwarded-for",
    "proxy-authorization",
    "traceparent",
    "tracestate",
    "x-request-id",
    "x-correlation-id",
    "baggage",
    "x-request-start",
};

bool belongs_to_attempt(const std::string& name) {
  return std::find(kAttemptHeaders.begin(), kAttemptHeaders.end(), name) != kAttemptHeaders.end();
}

std::string lower_case(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

}  // namespace

const std::string& header_digest(const EdgeProtocol& protocol, Call& call) {
  if (!call.header_digest.empty()) return call.header_digest;
  std::vector<std::string> fields;
  for (const auto& field : call.request.base()) {
    const auto name = lower_case(view(field.name_string()));
    if (belongs_to_attempt(name) || protocol.differs_between_attempts(name)) continue;
    fields.push_back(join({name, view(field.value())}));
  }
  std::sort(fields.begin(), fields.end());
  std::string joined;
  for (const auto& field : fields) joined += field;
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(joined.data(), joined.size())));
  call.header_digest = text.data();
  return call.header_digest;
}

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
