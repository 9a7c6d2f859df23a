/// @file Bounds on what a peer may send or make this node wait for.
#pragma once

#include <thrift/TConfiguration.h>

#include <memory>

namespace sailgate::rpc {

/// Largest frame: a snapshot of a full slot with room to spare.
constexpr int kMaximumFrameBytes = 128 << 20;
/// Deepest nesting of structs in a message.
constexpr int kMaximumDepth = 32;
/// Connections one node accepts.
constexpr int kMaximumConnections = 1024;
/// Time to connect to a peer.
constexpr int kConnectTimeoutMillis = 500;
/// Time a peer may take to accept bytes.
constexpr int kSendTimeoutMillis = 2000;

/// Limits for a Thrift transport.
inline std::shared_ptr<apache::thrift::TConfiguration> transport_limits() {
  return std::make_shared<apache::thrift::TConfiguration>(kMaximumFrameBytes, kMaximumFrameBytes,
                                                          kMaximumDepth);
}

}  // namespace sailgate::rpc
