#include "serving/caller_session.hpp"

#include "net/socket_state.hpp"
#include "serving/refusal.hpp"

namespace sailgate::serving {

namespace {

namespace http = net::http;
using Kind = wire::ErrorKind;

constexpr std::size_t kReadSize = 4096;
/// Time for which the rest of a rejected request is read and discarded. Closing a socket with
/// unread data sends a reset, which could destroy the response before the caller has read it.
constexpr net::Millis kLingerTime{500};

}  // namespace

routing::CallerLimits CallerSession::limits() const {
  return state_.routes == nullptr ? routing::CallerLimits{} : state_.routes->configuration().limits;
}

net::asio::awaitable<bool> CallerSession::wait_for_request() {
  if (channel_.buffer().size() > 0) co_return true;
  auto& stream = channel_.stream();
  stream.expires_after(limits().idle_timeout);
  idle_ = true;
  net::Error error;
  const auto space = channel_.buffer().prepare(kReadSize);
  const auto size = co_await stream.async_read_some(space, net::awaiting(error));
  idle_ = false;
  if (error) co_return false;
  channel_.buffer().commit(size);
  co_return true;
}

net::asio::awaitable<bool> CallerSession::answer_read_error(net::Error error) {
  if (error == http::error::end_of_stream || error == net::asio::error::connection_reset ||
      error == net::asio::error::eof || error == http::error::partial_message) {
    co_return false;
  }
  channel_.close_after_answer();
  auto kind = Kind::kMalformedRequest;
  if (error == http::error::header_limit) kind = Kind::kHeaderTooLarge;
  if (error == http::error::body_limit) kind = Kind::kBodyTooLarge;
  if (error == net::beast::error::timeout) {
    // NOTE: the stream closes its socket on a timeout, so no response can be sent.
    kind = Kind::kRequestTimeout;
  }
  state_.log.event("request_unreadable")
      .with("outcome", base::error_answer(kind).name)
      .with("error", error.message());
  co_await send_refusal(channel_, kind);
  auto& stream = channel_.stream();
  net::Error ignored;
  stream.socket().shutdown(net::asio::ip::tcp::socket::shutdown_send, ignored);
  stream.expires_after(kLingerTime);
  while (!ignored) {
    channel_.buffer().clear();
    const auto space = channel_.buffer().prepare(kReadSize);
    co_await stream.async_read_some(space, net::awaiting(ignored));
  }
  co_return false;
}

net::asio::awaitable<bool> CallerSession::serve_one() {
  const auto caller_limits = limits();
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(caller_limits.header_bytes));
  parser.body_limit(caller_limits.body_bytes);
  auto& stream = channel_.stream();
  stream.expires_after(caller_limits.header_timeout);
  net::Error error;
  co_await http::async_read_header(stream, channel_.buffer(), parser, net::awaiting(error));
  if (error) co_return co_await answer_read_error(error);
  if (parser.get()[http::field::expect] == "100-continue") {
    if (!co_await channel_.write("HTTP/1.1 100 Continue\r\n\r\n")) co_return false;
  }
  if (!parser.is_done()) {
    stream.expires_after(caller_limits.idle_timeout);
    co_await http::async_read(stream, channel_.buffer(), parser, net::awaiting(error));
    if (error) co_return co_await answer_read_error(error);
  }
  stream.expires_never();
  auto request = parser.release();
  const bool should_reconnect_elsewhere = state_.shutdown.begun() || state_.readiness.steps_aside();
  if (!request.keep_alive() || should_reconnect_elsewhere) channel_.close_after_answer();
  co_return co_await handler_.handle(channel_, std::move(request), net::Clock::now());
}

net::asio::awaitable<void> CallerSession::run() {
  const auto self = shared_from_this();
  bool open = true;
  while (open) {
    open = co_await wait_for_request();
    if (open) open = co_await serve_one();
  }
  channel_.stream().close();
}

void CallerSession::close_if_idle() {
  if (!idle_) return;
  // A request that has arrived is served, since its caller could not tell that nobody read it.
  if (net::peek(channel_.stream().socket()) == net::SocketState::kData) return;
  channel_.stream().close();
}

}  // namespace sailgate::serving
