/// @file Looking at a connected socket without reading from it.
#pragma once

#include "net/asio.hpp"

namespace sailgate::net {

enum class SocketState {
  kIdle,    ///< open, nothing to read
  kData,    ///< bytes wait to be read
  kClosed,  ///< the peer closed or reset it
};

/// Never blocks.
SocketState peek(asio::ip::tcp::socket& socket);

/// Disables Nagle's algorithm and bounds how long a silent peer goes unnoticed.
void set_tcp_options(asio::ip::tcp::socket& socket);

}  // namespace sailgate::net
