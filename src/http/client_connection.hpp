/// @file One blocking connection of the HTTP client.
#pragma once

#include <functional>
#include <string>

#include "http/http_client.hpp"
#include "net/asio.hpp"

namespace sailgate::http {

/// Used by one thread at a time.
class ClientConnection {
 public:
  /// Called with the head and the next bytes of the body; return false to break the response off.
  using DataHandler = std::function<bool(const HttpResult& head, const std::string& data)>;

  /// @param address "host:port". The connection is made with the first exchange.
  explicit ClientConnection(std::string address) : address_(std::move(address)) {}

  /// Sends a request and hands the body of its final response over as it arrives. A head that
  /// is none of HTTP counts as no response.
  HttpResult exchange(const HttpRequest& request, net::TimePoint deadline,
                      const DataHandler& on_data);
  /// Whether the server closed the connection before any byte of the last response.
  bool closed_unanswered() const { return closed_unanswered_; }
  /// Whether the last response is complete and another request may follow.
  bool reusable() const { return reusable_; }
  /// Whether the server has neither closed the connection nor sent anything unasked.
  bool idle();

 private:
  net::asio::awaitable<void> run(const HttpRequest& request, net::TimePoint deadline,
                                 const DataHandler& on_data, HttpResult& result);
  net::asio::awaitable<net::Error> connect();

  std::string address_;
  net::asio::io_context context_{1};
  net::beast::tcp_stream stream_{context_};
  net::beast::flat_buffer buffer_;
  bool connected_ = false;
  bool closed_unanswered_ = false;
  bool reusable_ = false;
};

}  // namespace sailgate::http
