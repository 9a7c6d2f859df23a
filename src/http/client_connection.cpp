#include "http/client_connection.hpp"

#include <cpprest/base_uri.h>

#include <optional>
#include <utility>

#include "net/http_client.hpp"
#include "net/response_reader.hpp"
#include "net/socket_state.hpp"

namespace sailgate::http {
namespace {

namespace wire_http = net::http;

constexpr net::ResponseLimits kResponseLimits{64U << 10U, 32U << 20U};
constexpr int kHttp11 = 11;

net::TextRequest convert(const HttpRequest& request, const std::string& address) {
  std::string target;
  for (const auto& segment : request.path) target += '/' + web::uri::encode_data_string(segment);
  net::TextRequest converted;
  converted.version(kHttp11);
  converted.method_string(request.method);
  converted.target(target.empty() ? "/" : target);
  converted.set(wire_http::field::host, address);
  for (const auto& [name, value] : request.headers) converted.set(name, value);
  if (!request.body.empty()) {
    converted.set(wire_http::field::content_type, "application/json");
    converted.body() = request.body;
  }
  converted.prepare_payload();
  return converted;
}

std::string text(net::beast::string_view view) { return {view.data(), view.size()}; }

bool is_close(const net::Error& error) {
  return error == wire_http::error::end_of_stream || error == net::asio::error::eof ||
         error == net::asio::error::connection_reset || error == net::asio::error::broken_pipe;
}

void take_head(const wire_http::response_header<>& head, HttpResult& result) {
  result.delivery = Delivery::kAnswered;
  result.response.status = static_cast<int>(head.result_int());
  for (const auto& field : head) {
    auto& value = result.response.headers[text(field.name_string())];
    if (!value.empty()) value += ", ";
    value += text(field.value());
  }
}

}  // namespace

HttpResult ClientConnection::exchange(const HttpRequest& request, net::TimePoint deadline,
                                      const DataHandler& on_data) {
  closed_unanswered_ = false;
  reusable_ = false;
  HttpResult result;
  net::asio::co_spawn(context_, run(request, deadline, on_data, result),
                      [](const std::exception_ptr& failure) {
                        if (failure) std::rethrow_exception(failure);
                      });
  context_.restart();
  try {
    context_.run();
  } catch (const std::exception& failure) {  // of the handler
    result.error = failure.what();
  }
  return result;
}

bool ClientConnection::idle() { return net::peek(stream_.socket()) == net::SocketState::kIdle; }

net::asio::awaitable<net::Error> ClientConnection::connect() {
  const auto colon = address_.rfind(':');
  net::Error error;
  net::asio::ip::tcp::resolver resolver(context_);
  const auto endpoints =
      resolver.resolve(address_.substr(0, colon), address_.substr(colon + 1), error);
  if (error) co_return error;
  co_await stream_.async_connect(endpoints, net::awaiting(error));
  if (!error) net::set_tcp_options(stream_.socket());
  connected_ = !error;
  co_return error;
}

net::asio::awaitable<void> ClientConnection::run(const HttpRequest& request,
                                                 net::TimePoint deadline,
                                                 const DataHandler& on_data, HttpResult& result) {
  stream_.expires_at(deadline);
  net::Error error;
  if (!connected_) error = co_await connect();
  if (error) {
    result.delivery = Delivery::kUnsent;
    result.error = error.message();
    co_return;
  }
  const auto message = convert(request, address_);
  co_await wire_http::async_write(stream_, message, net::awaiting(error));
  std::optional<net::ResponseParser> parser;
  if (!error) error = co_await net::read_final_head(stream_, buffer_, parser, kResponseLimits);
  if (error) {
    closed_unanswered_ = buffer_.size() == 0 && is_close(error);
    result.error = error.message();
    co_return;
  }
  take_head(parser->get(), result);
  auto& received = parser->get().body();
  while (!parser->is_done()) {
    co_await wire_http::async_read_some(stream_, buffer_, *parser, net::awaiting(error));
    const bool wanted = received.empty() || on_data(result, received);
    received.clear();
    if (error) result.error = error.message();
    if (error || !wanted) co_return;
  }
  result.body_complete = true;
  reusable_ = parser->keep_alive() && buffer_.size() == 0;
  stream_.expires_never();
}

}  // namespace sailgate::http
