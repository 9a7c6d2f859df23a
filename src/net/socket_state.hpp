/// @file State and TCP options of a connected socket.
#pragma once

#include "net/asio.hpp"

namespace sailgate::net {

enum class SocketState {
  kIdle,    ///< open, nothing to read
  kData,    ///< bytes available to read
  kClosed,  ///< closed or reset by the peer
};

/// Determines the state without consuming data. Never blocks.
SocketState peek(asio::ip::tcp::socket& socket);

/// Disables Nagle's algorithm and limits the time until an unresponsive peer is detected.
void set_tcp_options(asio::ip::tcp::socket& socket);

}  // namespace sailgate::net
