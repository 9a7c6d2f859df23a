#include "net/text_server.hpp"

#include "net/socket_state.hpp"

namespace sailgate::net {

namespace {

constexpr Millis kIdleTimeout{20'000};
constexpr Millis kAcceptRetryDelay{50};
constexpr int kMaxConnections = 512;
constexpr std::uint64_t kMaxBodyBytes = 8U << 20U;

}  // namespace

TextServer::TextServer(asio::io_context& context, const Endpoint& endpoint, Handler handler)
    : context_(context), acceptor_(context, endpoint), handler_(std::move(handler)) {}

void TextServer::start() { asio::co_spawn(context_, accept(), asio::detached); }

void TextServer::stop() {
  Error ignored;
  acceptor_.close(ignored);
}

asio::awaitable<void> TextServer::accept() {
  while (acceptor_.is_open()) {
    Error error;
    auto socket = co_await acceptor_.async_accept(awaiting(error));
    if (error) {
      co_await sleep_for(context_, kAcceptRetryDelay);
    } else if (open_connections_ < kMaxConnections) {
      asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
    }
  }
}

asio::awaitable<void> TextServer::serve(asio::ip::tcp::socket socket) {
  ++open_connections_;
  set_tcp_options(socket);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  Error error;
  while (!error) {
    stream.expires_after(kIdleTimeout);
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    co_await http::async_read(stream, buffer, parser, awaiting(error));
    if (error) break;
    auto request = parser.release();
    const bool keep_alive = request.keep_alive();
    auto response = co_await handler_(std::move(request));
    response.version(11);
    response.keep_alive(keep_alive);
    response.prepare_payload();
    co_await http::async_write(stream, response, awaiting(error));
    if (!keep_alive) break;
  }
  stream.close();
  --open_connections_;
}

}  // namespace sailgate::net
