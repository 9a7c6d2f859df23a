#include "base/digest.hpp"

#include <sodium.h>
#include <xxhash.h>

#include <array>
#include <stdexcept>

namespace sailgate::base {
namespace {

constexpr std::size_t kChainDigestBytes = 16;

void update_with_length(crypto_generichash_state& state, std::string_view bytes) {
  const std::uint64_t length = bytes.size();
  std::array<unsigned char, sizeof(length)> prefix{};
  for (std::size_t i = 0; i < prefix.size(); ++i) {
    prefix.at(i) = static_cast<unsigned char>(length >> (8U * i));
  }
  crypto_generichash_update(&state, prefix.data(), prefix.size());
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(bytes.data()),
                            bytes.size());
}

}  // namespace

std::int64_t fast_digest(std::string_view bytes) {
  return static_cast<std::int64_t>(XXH64(bytes.data(), bytes.size(), 0));
}

std::string chain_digest(std::string_view previous, std::string_view content) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, kChainDigestBytes);
  update_with_length(state, previous);
  update_with_length(state, content);
  std::string digest(kChainDigestBytes, '\0');
  crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(digest.data()), digest.size());
  return to_hex(digest);
}

std::string token_digest(std::string_view token) {
  std::string digest(kChainDigestBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(digest.data()), digest.size(),
                     reinterpret_cast<const unsigned char*>(token.data()), token.size(), nullptr,
                     0);
  return to_hex(digest);
}

std::string to_hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text.push_back(kDigits[value >> 4U]);
    text.push_back(kDigits[value & 15U]);
  }
  return text;
}

std::string from_hex(const std::string& text) {
  std::string bytes(text.size() / 2, '\0');
  std::size_t length = 0;
  const int status = sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
                                    text.data(), text.size(), "\r\n \t", &length, nullptr);
  if (status != 0) throw std::invalid_argument("not hexadecimal text");
  bytes.resize(length);
  return bytes;
}

}  // namespace sailgate::base
