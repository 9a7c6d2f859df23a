/// @file HTTP/1.1 client with kept connections to one server, for the platform's services and
/// peers.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/asio.hpp"

namespace sailgate::net {

/// Request and response with the whole body in memory.
using TextRequest = http::request<http::string_body>;
using TextResponse = http::response<http::string_body>;

/// Why an exchange gave no response.
enum class ExchangeFailure {
  kNone,
  kNotSent,     ///< no connection: the server has seen nothing of the request
  kNoResponse,  ///< the request may have been taken
};

struct ExchangeResult {
  ExchangeFailure failure = ExchangeFailure::kNone;
  TextResponse response;  ///< valid when failure is kNone
};

/// Keeps idle connections for reuse. A connection on which anything failed is closed.
class HttpClient {
 public:
  HttpClient(asio::io_context& context, const Endpoint& server)
      : context_(context), server_(server) {}

  /// One request and its whole response within `timeout`. Never sends a request twice.
  asio::awaitable<ExchangeResult> exchange(TextRequest request, Millis timeout);

  /// Calls from now on go to another address; those under way end where they are.
  void set_server(const Endpoint& server);

  /// Forgets idle connections, after a time in which they may have become silent.
  void close_idle() { idle_.clear(); }

 private:
  struct Connection {
    Connection(asio::io_context& context, const Endpoint& peer) : server(peer), stream(context) {}
    Endpoint server;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
  };

  static constexpr std::size_t kMostIdle = 8;

  asio::awaitable<std::unique_ptr<Connection>> acquire(TimePoint deadline);

  asio::io_context& context_;
  Endpoint server_;
  std::vector<std::unique_ptr<Connection>> idle_;
};

}  // namespace sailgate::net
