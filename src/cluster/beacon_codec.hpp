/// @file Beacons as datagrams.
#pragma once

#include <cstddef>
#include <string>

#include "cluster_types.h"

namespace sailgate::cluster {

/// Largest datagram of a beacon. Larger ones would be cut by the receiver and count as lost, which
/// makes their sender, or with a summary its whole zone, look dead.
inline constexpr std::size_t kMaxBeaconBytes = 8192;

/// Encodes a beacon and its summary within kMostBeaconBytes. What only saves time is left out
/// first, one kind of figure after the other: shared prompts, speeds of engines, programs begun,
/// failures, loads. Who lives and what tenants were let through is always told: limits rest on it.
std::string encode_beacon(wire::Beacon beacon);

}  // namespace sailgate::cluster
