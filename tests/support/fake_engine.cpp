#include "support/fake_engine.hpp"

#include <fcntl.h>

#include <cstdio>
#include <utility>

namespace sailgate::test {

namespace {

/// Time in which a peer on loopback reads what was sent to it.
constexpr net::Millis kReadTime{50};
const char* const kHealthPath = "/healthz";
const char* const kHealthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

std::string chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

std::string id_line(const net::TextRequest& request) {
  const auto id = request["Sailgate-Request-Id"];
  return "Sailgate-Request-Id: " + std::string(id.data(), id.size()) + "\r\n";
}

std::string engine_answer(const net::TextRequest& request, const std::string& body,
                          const std::string& extra, int status) {
  return "HTTP/1.1 " + std::to_string(status) + " Text\r\nSailgate-Seal: seal\r\n" +
         id_line(request) + extra + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string stream_head(const net::TextRequest& request) {
  return "HTTP/1.1 200 OK\r\nSailgate-Seal: seal\r\nContent-Type: text/event-stream\r\n" +
         id_line(request) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string event_chunk(int id, const std::string& data) {
  return chunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
}

std::string not_run_answer(int status) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Text\r\nSailgate-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

namespace {

/// Programs that the test starts would keep the socket open after the engine has ended.
void close_in_children(int socket) { fcntl(socket, F_SETFD, FD_CLOEXEC); }

}  // namespace

FakeEngine::FakeEngine(net::asio::io_context& context)
    : context_(context),
      acceptor_(context, net::Endpoint(net::asio::ip::address_v4::loopback(), 0)) {
  close_in_children(acceptor_.native_handle());
  net::asio::co_spawn(context_, accept(), net::asio::detached);
}

net::asio::awaitable<void> FakeEngine::accept() {
  while (true) {
    net::Error error;
    auto socket = co_await acceptor_.async_accept(net::awaiting(error));
    if (error) co_return;
    ++connections_;
    close_in_children(socket.native_handle());
    auto stream = std::make_shared<net::beast::tcp_stream>(std::move(socket));
    open_.insert(stream);
    net::asio::co_spawn(context_, serve(stream),
                        [this, stream](const std::exception_ptr&) { open_.erase(stream); });
  }
}

void FakeEngine::reset(net::beast::tcp_stream& stream) {
  net::Error error;
  stream.socket().set_option(net::asio::socket_base::linger(true, 0), error);
  stream.socket().close(error);
}

void FakeEngine::end(EngineEnd how) {
  if (how == EngineEnd::kUnattended) {
    acceptor_.cancel();
  } else {
    acceptor_.close();
  }
  const auto open = std::exchange(open_, {});
  for (const auto& stream : open) {
    if (how == EngineEnd::kSilence) {
      silent_.insert(stream);
    } else if (how == EngineEnd::kReset) {
      reset(*stream);
    } else {
      stream->close();
    }
  }
}

net::asio::awaitable<void> FakeEngine::write_without_end(Stream stream, EngineReply reply) {
  net::Error error;
  while (!error) {
    co_await net::asio::async_write(*stream, net::asio::buffer(reply.endless),
                                    net::awaiting(error));
    if (reply.endless_pause.count() > 0) co_await net::sleep_for(context_, reply.endless_pause);
  }
}

net::asio::awaitable<void> FakeEngine::end_later(EngineEnd how, net::Millis delay) {
  co_await net::sleep_for(context_, delay);
  end(how);
}

void FakeEngine::start_again() {
  acceptor_.open(endpoint_.protocol());
  acceptor_.set_option(net::asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint_);
  acceptor_.listen();
  close_in_children(acceptor_.native_handle());
  net::asio::co_spawn(context_, accept(), net::asio::detached);
}

EngineReply FakeEngine::reply_to(const net::TextRequest& request) {
  if (request.target() == kHealthPath) {
    return health_script_ ? health_script_(request) : EngineReply{kHealthy};
  }
  requests_.push_back(request);
  return script_(request);
}

net::asio::awaitable<FakeEngine::Next> FakeEngine::carry_out(Stream stream, EngineReply reply) {
  net::Error error;
  if (reply.delay.count() > 0) co_await net::sleep_for(context_, reply.delay);
  co_await net::asio::async_write(*stream, net::asio::buffer(reply.bytes), net::awaiting(error));
  if (!reply.endless.empty()) {
    co_await write_without_end(stream, reply);
    co_return Next::kClose;
  }
  if (reply.hold) {
    char byte = 0;
    co_await stream->async_read_some(net::asio::buffer(&byte, 1), net::awaiting(error));
    ++abandoned_;
    co_return Next::kClose;
  }
  const bool resets = reply.reset_after || reply.end == EngineEnd::kReset;
  // The peer is to read what was written before the reset discards it.
  if (resets && !reply.bytes.empty()) co_await net::sleep_for(context_, kReadTime);
  if (reply.end_delay.count() > 0) {
    net::asio::co_spawn(context_, end_later(reply.end, reply.end_delay), net::asio::detached);
    if (resets) reset(*stream);
    co_return Next::kClose;
  }
  if (reply.end != EngineEnd::kNone) {
    end(reply.end);
    co_return Next::kNothing;
  }
  if (resets) {
    reset(*stream);
    co_return Next::kClose;
  }
  if (reply.close_after) ++closed_after_;
  co_return error || reply.close_after ? Next::kClose : Next::kRead;
}

net::asio::awaitable<void> FakeEngine::serve(Stream stream) {
  net::beast::flat_buffer buffer;
  auto next = Next::kRead;
  while (next == Next::kRead) {
    net::Error error;
    net::TextRequest request;
    co_await net::http::async_read(*stream, buffer, request, net::awaiting(error));
    if (silent_.count(stream) > 0) co_return;
    if (error) break;
    auto reply = reply_to(request);
    next = co_await carry_out(stream, std::move(reply));
  }
  if (next == Next::kNothing) co_return;
  net::Error ignored;
  stream->socket().shutdown(net::asio::ip::tcp::socket::shutdown_both, ignored);
  stream->close();
}

}  // namespace sailgate::test
