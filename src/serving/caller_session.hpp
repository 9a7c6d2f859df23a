/// @file One caller connection: reads requests sequentially and serves each before the next.
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

  /// Serves requests until the connection is closed.
  net::asio::awaitable<void> run();
  /// Closes the connection if no request is being read or served, nor waits to be read.
  void close_if_idle();
  /// Makes the next response, or the current one if it has not begun, the last on this connection.
  void close_after_response() { channel_.close_after_answer(); }

 private:
  using Parser = net::http::request_parser<net::http::string_body>;

  /// Waits for the first byte of a request. @return false if the connection ended or timed out.
  net::asio::awaitable<bool> wait_for_request();
  /// @return whether the connection can carry another request.
  net::asio::awaitable<bool> serve_one();
  /// Answers a request that could not be read, if the caller is still there. @return false: the
  /// connection cannot be used any more.
  net::asio::awaitable<bool> answer_read_error(net::Error error);
  routing::CallerLimits limits() const;

  NodeState& state_;
  CallHandler handler_;
  ClientChannel channel_;
  bool idle_ = false;
};

}  // namespace sailgate::serving
