/// @file The connection to a caller, for the code that answers a request.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/asio.hpp"
#include "serving/edge_protocol.hpp"

namespace sailgate::serving {

/// Writes answers and notices when the caller leaves. Not thread-safe.
class ClientChannel {
 public:
  explicit ClientChannel(net::asio::ip::tcp::socket socket) : stream_(std::move(socket)) {}
  ClientChannel(const ClientChannel&) = delete;
  ClientChannel& operator=(const ClientChannel&) = delete;
  ~ClientChannel() { unwatch(); }

  /// Calls `on_disconnect` once when the caller closes its connection, until unwatch().
  void watch(std::function<void()> on_disconnect);
  void unwatch();
  bool gone() const { return gone_; }

  /// Writes bytes as they are. @return whether all were taken.
  net::asio::awaitable<bool> write(std::string bytes);

  /// Writes a whole answer. `head` gives status and fields; framing fields are set here.
  net::asio::awaitable<bool> write_answer(net::http::response_header<> head, std::string body,
                                          bool head_only);
  /// Starts an answer of unknown length.
  net::asio::awaitable<bool> begin_chunked(net::http::response_header<> head);
  net::asio::awaitable<bool> write_chunk(const std::string& bytes);
  net::asio::awaitable<bool> end_chunked();
  /// Answers carry "Connection: close" from now on.
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
