#include "serving/client_channel.hpp"

#include <cstdio>
#include <sstream>

#include "net/socket_state.hpp"

namespace sailgate::serving {

namespace {

namespace http = net::http;

/// A caller that does not accept a write within this time counts as disconnected.
constexpr net::Millis kWriteTimeout{5000};

/// Removes hop-by-hop fields and the fields that frame the body.
void remove_connection_fields(http::response_header<>& head) {
  head.erase(http::field::connection);
  head.erase(http::field::keep_alive);
  head.erase(http::field::transfer_encoding);
  head.erase(http::field::content_length);
  head.erase(http::field::trailer);
  head.erase(http::field::upgrade);
  head.erase(http::field::te);
  head.erase("Proxy-Connection");
}

std::string head_text(const http::response_header<>& head) {
  std::string text = "HTTP/1.1 " + std::to_string(head.result_int()) + ' ';
  const auto reason = head.reason().empty() ? http::obsolete_reason(head.result()) : head.reason();
  text.append(reason.data(), reason.size());
  text += "\r\n";
  for (const auto& field : head) {
    text.append(field.name_string().data(), field.name_string().size());
    text += ": ";
    text.append(field.value().data(), field.value().size());
    text += "\r\n";
  }
  text += "\r\n";
  return text;
}

bool may_have_body(unsigned status) {
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return status >= kFirstFinal && status != kNoContent && status != kNotModified;
}

}  // namespace

void ClientChannel::watch(std::function<void()> on_disconnect) {
  watch_ = std::make_shared<Watch>();
  watch_->on_disconnect = std::move(on_disconnect);
  stream_.socket().async_wait(net::asio::ip::tcp::socket::wait_read,
                              [this, watch = watch_](const net::Error& error) {
                                if (!watch->active || error) return;
                                if (net::peek(stream_.socket()) != net::SocketState::kClosed)
                                  return;
                                gone_ = true;
                                watch->active = false;
                                watch->on_disconnect();
                              });
}

void ClientChannel::unwatch() {
  if (watch_ == nullptr) return;
  watch_->active = false;
  watch_ = nullptr;
  net::Error ignored;
  stream_.socket().cancel(ignored);
}

net::asio::awaitable<bool> ClientChannel::write(std::string bytes) {
  if (gone_) co_return false;
  stream_.expires_after(kWriteTimeout);
  net::Error error;
  co_await net::asio::async_write(stream_, net::asio::buffer(bytes), net::awaiting(error));
  stream_.expires_never();
  if (error) gone_ = true;
  co_return !error;
}

void ClientChannel::set_connection_field(http::response_header<>& head) const {
  if (!keep_alive_) head.set(http::field::connection, "close");
}

net::asio::awaitable<bool> ClientChannel::write_answer(http::response_header<> head,
                                                       std::string body, bool head_only) {
  std::string length = std::to_string(body.size());
  if (head_only && head.count(http::field::content_length) > 0) {
    const auto stated = head[http::field::content_length];
    length.assign(stated.data(), stated.size());
  }
  remove_connection_fields(head);
  if (may_have_body(head.result_int())) head.set(http::field::content_length, length);
  set_connection_field(head);
  auto text = head_text(head);
  if (!head_only) text += body;
  co_return co_await write(std::move(text));
}

net::asio::awaitable<bool> ClientChannel::begin_chunked(http::response_header<> head) {
  remove_connection_fields(head);
  head.set(http::field::transfer_encoding, "chunked");
  set_connection_field(head);
  co_return co_await write(head_text(head));
}

net::asio::awaitable<bool> ClientChannel::write_chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  std::string text = size;
  text += bytes;
  text += "\r\n";
  co_return co_await write(std::move(text));
}

net::asio::awaitable<bool> ClientChannel::end_chunked() { co_return co_await write("0\r\n\r\n"); }

}  // namespace sailgate::serving
