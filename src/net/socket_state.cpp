#include "net/socket_state.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace sailgate::net {

namespace {

/// TCP_USER_TIMEOUT: a connection whose data stays unacknowledged for this time is closed.
constexpr int kUserTimeoutMs = 5000;

}  // namespace

SocketState peek(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return SocketState::kData;
  if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    return SocketState::kIdle;
  }
  return SocketState::kClosed;
}

void set_tcp_options(asio::ip::tcp::socket& socket) {
  Error ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int timeout = kUserTimeoutMs;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

}  // namespace sailgate::net
