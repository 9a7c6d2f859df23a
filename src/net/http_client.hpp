/// @file HTTP/1.1 client with persistent connections to one server, for platform services and
/// peers.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/asio.hpp"

namespace sailgate::net {

/// Request and response whose bodies are held in memory.
using TextRequest = http::request<http::string_body>;
using TextResponse = http::response<http::string_body>;

/// Reason why an exchange produced no response.
enum class ExchangeFailure {
  kNone,
  kNotSent,     ///< no connection: no part of the request was sent
  kNoResponse,  ///< the server may have processed the request
};

struct ExchangeResult {
  ExchangeFailure failure = ExchangeFailure::kNone;
  TextResponse response;  ///< valid when failure is kNone
};

/// Keeps a pool of idle connections. After an exchange without a response they are all closed, so
/// that the next exchange uses a new connection.
class HttpClient {
 public:
  HttpClient(asio::io_context& context, const Endpoint& server)
      : context_(context), server_(server) {}

  /// Sends a request and reads the whole response within `timeout`. Never retries.
  asio::awaitable<ExchangeResult> exchange(TextRequest request, Millis timeout);

  /// Sends subsequent requests to another address; exchanges in progress are not affected.
  void set_server(const Endpoint& server);

 private:
  struct Connection {
    Connection(asio::io_context& context, const Endpoint& peer) : server(peer), stream(context) {}
    Endpoint server;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
  };

  static constexpr std::size_t kMaxIdleConnections = 8;

  asio::awaitable<std::unique_ptr<Connection>> acquire(TimePoint deadline);
  asio::awaitable<ExchangeResult> attempt(TextRequest request, Millis timeout);

  asio::io_context& context_;
  Endpoint server_;
  std::vector<std::unique_ptr<Connection>> idle_;
};

}  // namespace sailgate::net
