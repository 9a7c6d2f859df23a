/// @file Canonical digests and Ed25519 signatures of bundles (libsodium).
#pragma once

#include <map>
#include <string>

#include "sailgate_types.h"

namespace sailgate::configuration {

/// Public keys by partner name, raw bytes.
using PartnerKeys = std::map<std::string, std::string>;

/// Key pair of one partner, raw bytes.
struct KeyPair {
  std::string public_key;
  std::string secret_key;
};

/// Key pair from 32 bytes of seed; the same seed gives the same pair.
KeyPair key_pair_from_seed(const std::string& seed);
/// Fresh random key pair.
KeyPair new_key_pair();

/// BLAKE2b-256 over the canonical form: lists sorted, Thrift compact encoding. It covers partner,
/// version and the generation the bundle builds on, so that a signature cannot be used for another.
std::string bundle_digest(const wire::Bundle& bundle);

/// Signs on behalf of `partner`.
wire::Signature sign(const wire::Bundle& bundle, const std::string& partner,
                     const std::string& secret_key);

/// @return why the signatures do not suffice, or an empty string: each partner must have signed
/// this very bundle.
std::string verify_signatures(const wire::SignedBundle& signed_bundle, const PartnerKeys& keys);

}  // namespace sailgate::configuration
