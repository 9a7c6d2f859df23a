#include "net/http_client.hpp"

#include "net/endpoint.hpp"
#include "net/response_reader.hpp"
#include "net/socket_state.hpp"

namespace sailgate::net {

namespace {

constexpr ResponseLimits kResponseLimits{8U << 10U, 32U << 20U};

}  // namespace

asio::awaitable<std::unique_ptr<HttpClient::Connection>> HttpClient::acquire(TimePoint deadline) {
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (peek(connection->stream.socket()) == SocketState::kIdle) co_return connection;
  }
  auto connection = std::make_unique<Connection>(context_, server_);
  connection->stream.expires_at(deadline);
  Error error;
  co_await connection->stream.async_connect(connection->server, awaiting(error));
  if (error) co_return nullptr;
  set_tcp_options(connection->stream.socket());
  co_return connection;
}

void HttpClient::set_server(const Endpoint& server) {
  server_ = server;
  idle_.clear();
}

asio::awaitable<ExchangeResult> HttpClient::exchange(TextRequest request, Millis timeout) {
  auto result = co_await attempt(std::move(request), timeout);
  // Whatever broke this connection may have broken the idle ones without any sign of it.
  if (result.failure != ExchangeFailure::kNone) idle_.clear();
  co_return result;
}

asio::awaitable<ExchangeResult> HttpClient::attempt(TextRequest request, Millis timeout) {
  const auto deadline = Clock::now() + timeout;
  ExchangeResult result;
  auto connection = co_await acquire(deadline);
  if (connection == nullptr) {
    result.failure = ExchangeFailure::kNotSent;
    co_return result;
  }
  request.version(11);
  request.set(http::field::host, format_endpoint(connection->server));
  request.prepare_payload();
  auto& stream = connection->stream;
  stream.expires_at(deadline);
  Error error;
  co_await http::async_write(stream, request, awaiting(error));
  if (!error) {
    result.response = co_await read_response(stream, connection->buffer, kResponseLimits, error);
  }
  if (error) {
    result.failure = ExchangeFailure::kNoResponse;
    co_return result;
  }
  const bool reusable = result.response.keep_alive() && connection->buffer.size() == 0 &&
                        connection->server == server_;
  if (reusable && idle_.size() < kMaxIdleConnections) idle_.push_back(std::move(connection));
  co_return result;
}

}  // namespace sailgate::net
