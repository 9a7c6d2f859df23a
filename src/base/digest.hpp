/// @file Digests: a fast one for identity checks, a strong one for the history chain.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sailgate::base {

/// 64-bit xxHash of `bytes`, as a signed value for Thrift fields.
std::int64_t fast_digest(std::string_view bytes);

/// BLAKE2b-128 (libsodium) over `previous` and `content`, lower-case hexadecimal.
/// Fields are length-prefixed, so that different splits cannot collide.
std::string chain_digest(std::string_view previous, std::string_view content);

/// Digest of a bearer token as bundles list it: BLAKE2b-128, hexadecimal.
std::string token_digest(std::string_view token);

/// @return `bytes` in lower-case hexadecimal.
std::string to_hex(std::string_view bytes);
/// Bytes of hexadecimal text; white space is skipped. @throws std::invalid_argument
std::string from_hex(const std::string& text);

}  // namespace sailgate::base
