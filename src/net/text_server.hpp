/// @file Small HTTP server for short answers: readiness, metrics, calls of peers.
#pragma once

#include <functional>

#include "net/http_client.hpp"

namespace sailgate::net {

/// Answers each request from a coroutine. Bounded in connections and body size.
class TextServer {
 public:
  using Handler = std::function<asio::awaitable<TextResponse>(TextRequest)>;

  /// @throws boost::system::system_error when the address cannot be listened on.
  TextServer(asio::io_context& context, const Endpoint& endpoint, Handler handler);
  void start();
  void stop();

 private:
  asio::awaitable<void> accept();
  asio::awaitable<void> serve(asio::ip::tcp::socket socket);

  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  int open_ = 0;
};

}  // namespace sailgate::net
