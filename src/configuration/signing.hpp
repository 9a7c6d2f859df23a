/// @file Canonical digests and Ed25519 signatures of configuration bundles (libsodium).
#pragma once

#include <map>
#include <string>

#include "sailgate_types.h"

namespace sailgate::configuration {

/// Public keys as raw bytes, by partner name.
using PartnerKeys = std::map<std::string, std::string>;

/// Ed25519 key pair of one partner as raw bytes.
struct KeyPair {
  std::string public_key;
  std::string secret_key;
};

/// Derives a key pair deterministically from a seed.
/// @throws std::invalid_argument if the seed is not 32 bytes long.
KeyPair key_pair_from_seed(const std::string& seed);
/// Generates a random key pair.
KeyPair new_key_pair();

/// BLAKE2b-256 digest of the canonical form (lists sorted, Thrift compact encoding). It covers the
/// partner, the version and the generation that the bundle builds on, so that a signature cannot be
/// replayed for another bundle or generation.
std::string bundle_digest(const wire::Bundle& bundle);

/// Signs the bundle in the name of `partner`.
/// @throws std::invalid_argument if the secret key is not 64 bytes long.
wire::Signature sign(const wire::Bundle& bundle, const std::string& partner,
                     const std::string& secret_key);

/// Checks that every partner in `keys` has signed exactly this bundle.
/// @return a description of the first problem, or an empty string.
std::string verify_signatures(const wire::SignedBundle& signed_bundle, const PartnerKeys& keys);

}  // namespace sailgate::configuration
