/// @file Writes responses to a caller connection and detects when the caller disconnects.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/asio.hpp"
#include "serving/edge_protocol.hpp"

namespace sailgate::serving {

/// Not thread-safe.
class ClientChannel {
 public:
  explicit ClientChannel(net::asio::ip::tcp::socket socket) : stream_(std::move(socket)) {}
  ClientChannel(const ClientChannel&) = delete;
  ClientChannel& operator=(const ClientChannel&) = delete;
  ~ClientChannel() { unwatch(); }

  /// Calls `on_disconnect` once if the caller closes its connection before unwatch().
  void watch(std::function<void()> on_disconnect);
  void unwatch();
  /// Whether the caller has disconnected or a write has failed.
  bool gone() const { return gone_; }

  /// Writes raw bytes. @return whether all were written.
  net::asio::awaitable<bool> write(std::string bytes);

  /// Writes a complete response. Fields of `head` that concern the connection or the framing of the
  /// body are replaced. @param head_only the response to a HEAD request: no body is written.
  net::asio::awaitable<bool> write_answer(net::http::response_header<> head, std::string body,
                                          bool head_only);
  /// Starts a response of unknown length with chunked transfer encoding.
  net::asio::awaitable<bool> begin_chunked(net::http::response_header<> head);
  net::asio::awaitable<bool> write_chunk(const std::string& bytes);
  net::asio::awaitable<bool> end_chunked();
  /// Sends "Connection: close" with all further responses.
  void close_after_answer() { keep_alive_ = false; }
  bool keep_alive() const { return keep_alive_ && !gone_; }

  net::beast::tcp_stream& stream() { return stream_; }
  net::beast::flat_buffer& buffer() { return buffer_; }

 private:
  struct Watch {
    bool active = true;
    std::function<void()> on_disconnect;
  };

  void set_connection_field(net::http::response_header<>& head) const;

  net::beast::tcp_stream stream_;
  net::beast::flat_buffer buffer_;
  std::shared_ptr<Watch> watch_;
  bool gone_ = false;
  bool keep_alive_ = true;
};

}  // namespace sailgate::serving
