#include "configuration/signing.hpp"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>

#include "wire/codec.hpp"

namespace sailgate::configuration {
namespace {

/// Domain separator at the start of every signed message, so that a signature is not valid for any
/// other purpose.
constexpr const char* kSignatureContext = "sailgate bundle v1\n";

const unsigned char* bytes(const std::string& buffer) {
  return reinterpret_cast<const unsigned char*>(buffer.data());
}

unsigned char* bytes(std::string& buffer) {
  return reinterpret_cast<unsigned char*>(buffer.data());
}

void initialize_sodium() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium initialization failed");
}

std::string signed_message(const wire::Bundle& bundle, const std::string& partner) {
  return kSignatureContext + partner + '\n' + bundle_digest(bundle);
}

}  // namespace

KeyPair key_pair_from_seed(const std::string& seed) {
  initialize_sodium();
  if (seed.size() != crypto_sign_SEEDBYTES)
    throw std::invalid_argument("key seed must be 32 bytes");
  KeyPair pair;
  pair.public_key.resize(crypto_sign_PUBLICKEYBYTES);
  pair.secret_key.resize(crypto_sign_SECRETKEYBYTES);
  crypto_sign_seed_keypair(bytes(pair.public_key), bytes(pair.secret_key), bytes(seed));
  return pair;
}

KeyPair new_key_pair() {
  initialize_sodium();
  std::string seed(crypto_sign_SEEDBYTES, '\0');
  randombytes_buf(seed.data(), seed.size());
  return key_pair_from_seed(seed);
}

std::string bundle_digest(const wire::Bundle& bundle) {
  auto canonical = bundle;
  std::sort(canonical.tenants.begin(), canonical.tenants.end(),
            [](const auto& left, const auto& right) { return left.name < right.name; });
  for (auto& tenant : canonical.tenants) {
    std::sort(tenant.token_hashes.begin(), tenant.token_hashes.end());
  }
  std::sort(canonical.programs.begin(), canonical.programs.end(),
            [](const auto& left, const auto& right) { return left.kind < right.kind; });
  std::sort(canonical.reservations.begin(), canonical.reservations.end(),
            [](const auto& left, const auto& right) {
              return std::tie(left.model, left.kind) < std::tie(right.model, right.kind);
            });
  std::sort(canonical.placements.begin(), canonical.placements.end(),
            [](const auto& left, const auto& right) { return left.kind < right.kind; });
  const auto encoded = wire::encode(canonical);
  std::string digest(crypto_generichash_BYTES, '\0');
  crypto_generichash(bytes(digest), digest.size(), bytes(encoded), encoded.size(), nullptr, 0);
  return digest;
}

wire::Signature sign(const wire::Bundle& bundle, const std::string& partner,
                     const std::string& secret_key) {
  initialize_sodium();
  if (secret_key.size() != crypto_sign_SECRETKEYBYTES) {
    throw std::invalid_argument("secret key must be 64 bytes");
  }
  const auto message = signed_message(bundle, partner);
  wire::Signature signature;
  signature.partner = partner;
  signature.bytes.resize(crypto_sign_BYTES);
  crypto_sign_detached(bytes(signature.bytes), nullptr, bytes(message), message.size(),
                       bytes(secret_key));
  return signature;
}

std::string verify_signatures(const wire::SignedBundle& signed_bundle, const PartnerKeys& keys) {
  const auto& bundle = signed_bundle.bundle;
  if (keys.count(bundle.partner) == 0) return "unknown partner " + bundle.partner;
  for (const auto& [partner, key] : keys) {
    const auto message = signed_message(bundle, partner);
    const bool valid = std::any_of(
        signed_bundle.signatures.begin(), signed_bundle.signatures.end(),
        [&, &name = partner, &public_key = key](const wire::Signature& signature) {
          return signature.partner == name && signature.bytes.size() == crypto_sign_BYTES &&
                 crypto_sign_verify_detached(bytes(signature.bytes), bytes(message), message.size(),
                                             bytes(public_key)) == 0;
        });
    if (!valid) return "missing or invalid signature of partner " + partner;
  }
  return {};
}

}  // namespace sailgate::configuration
