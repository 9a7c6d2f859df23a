/// @file Minimal HTTP server for short responses: readiness, metrics and requests from peers.
#pragma once

#include <functional>

#include "net/http_client.hpp"

namespace sailgate::net {

/// Handles each connection in a coroutine. Limits the number of connections and the body size.
class TextServer {
 public:
  using Handler = std::function<asio::awaitable<TextResponse>(TextRequest)>;

  /// @throws boost::system::system_error if it cannot listen on the address.
  TextServer(asio::io_context& context, const Endpoint& endpoint, Handler handler);
  void start();
  void stop();

 private:
  asio::awaitable<void> accept();
  asio::awaitable<void> serve(asio::ip::tcp::socket socket);

  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  int open_connections_ = 0;
};

}  // namespace sailgate::net
