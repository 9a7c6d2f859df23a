/// @file Encoding of beacons as datagrams.
#pragma once

#include <cstddef>
#include <string>

#include "cluster_types.h"

namespace sailgate::cluster {

/// Maximum size of a beacon's datagram. The receiver truncates larger ones and cannot decode them,
/// so that their sender, or with a summary its whole zone, would look dead.
inline constexpr std::size_t kMaxBeaconBytes = 8192;

/// Encodes a beacon and its summary. While the result exceeds kMaxBeaconBytes, less important
/// fields are dropped one kind after the other: shared prompts, engine speeds, programs begun,
/// failures, silent processes, loads, and last the split of tenants' usage by age. Liveness and the
/// tenants' usage over the window are always sent, because limits depend on them.
std::string encode_beacon(wire::Beacon beacon);

}  // namespace sailgate::cluster
