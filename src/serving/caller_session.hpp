/// @file One caller's connection: reads requests one after the other and has them answered.
#pragma once

#include <memory>

#include "serving/call_handler.hpp"
#include "serving/client_channel.hpp"
#include "serving/node_state.hpp"

namespace sailgate::serving {

class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(NodeState& state, net::asio::ip::tcp::socket socket)
      : state_(state), handler_(state), channel_(std::move(socket)) {}

  /// Serves until the connection ends.
  net::asio::awaitable<void> run();
  /// Closes the connection when no request is being read or served.
  void close_if_idle();

 private:
  using Parser = net::http::request_parser<net::http::string_body>;

  /// Waits for the first byte of a request. @return whether there is one.
  net::asio::awaitable<bool> wait_for_request();
  net::asio::awaitable<bool> serve_one();
  net::asio::awaitable<bool> answer_read_error(net::Error error);
  routing::CallerLimits limits() const;

  NodeState& state_;
  CallHandler handler_;
  ClientChannel channel_;
  bool idle_ = false;
};

}  // namespace sailgate::serving
