#include "http/http_client.hpp"

#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>

#include <utility>

namespace sailgate::http {
namespace {

namespace rest = web::http;

/// Start of the library's message when no connection could be made. Its error code is shared with
/// failures of a connection that had been made, so that only the message tells.
constexpr const char* kConnectFailure = "Failed to connect";
constexpr std::size_t kMaximumErrorBody = 64U << 10U;

rest::http_request convert(const HttpRequest& request) {
  rest::http_request result(request.method);
  web::uri_builder builder;
  for (const auto& segment : request.path) {
    builder.append_path_raw(web::uri::encode_data_string(segment));
  }
  result.set_request_uri(builder.to_uri());
  for (const auto& [name, value] : request.headers) result.headers().add(name, value);
  if (!request.body.empty()) result.set_body(request.body, "application/json");
  return result;
}

HttpResult failure(const std::exception& error) {
  HttpResult result;
  result.error = error.what();
  const bool unsent = result.error.rfind(kConnectFailure, 0) == 0;
  result.delivery = unsent ? Delivery::kUnsent : Delivery::kLost;
  return result;
}

void take_head(const rest::http_response& response, HttpResult& result) {
  result.delivery = Delivery::kAnswered;
  result.response.status = response.status_code();
  for (const auto& header : response.headers()) {
    result.response.headers[header.first] = header.second;
  }
}

}  // namespace

class HttpClient::Connection {
 public:
  Connection(const std::string& address, std::chrono::milliseconds timeout)
      : client("http://" + address, configuration(timeout)) {}

  rest::client::http_client client;

 private:
  static rest::client::http_client_config configuration(std::chrono::milliseconds timeout) {
    rest::client::http_client_config config;
    config.set_timeout(timeout);
    return config;
  }
};

std::shared_ptr<HttpClient::Connection> HttpClient::connection(const std::string& address,
                                                               std::chrono::milliseconds timeout,
                                                               bool fresh) {
  if (fresh) return std::make_shared<Connection>(address, timeout);
  const auto key = address + '|' + std::to_string(timeout.count());
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& kept = connections_[key];
  if (!kept) kept = std::make_shared<Connection>(address, timeout);
  return kept;
}

HttpResult HttpClient::send(const std::string& address, const HttpRequest& request,
                            std::chrono::milliseconds timeout, bool fresh_connection) {
  HttpResult result;
  try {
    const auto used = connection(address, timeout, fresh_connection);
    auto response = used->client.request(convert(request)).get();
    take_head(response, result);
    const auto body = response.extract_vector().get();
    result.response.body.assign(body.begin(), body.end());
    result.body_complete = true;
  } catch (const std::exception& error) {
    if (result.delivery != Delivery::kAnswered) return failure(error);
    result.error = error.what();
  }
  return result;
}

HttpResult HttpClient::stream(const std::string& address, const HttpRequest& request,
                              std::chrono::milliseconds timeout, const LineHandler& on_line) {
  HttpResult result;
  try {
    const auto used = connection(address, timeout, true);
    auto response = used->client.request(convert(request)).get();
    take_head(response, result);
    auto body = response.body();
    while (true) {
      concurrency::streams::stringstreambuf line;
      const auto taken = body.read_line(line).get();
      const bool at_end = body.is_eof();
      if (taken == 0 && at_end) break;
      const auto& text = line.collection();
      if (result.response.status != 200) {
        if (result.response.body.size() < kMaximumErrorBody) result.response.body += text;
      } else if (!on_line(text)) {
        return result;
      }
      if (at_end) break;
    }
    result.body_complete = true;
  } catch (const std::exception& error) {
    if (result.delivery != Delivery::kAnswered) return failure(error);
    result.error = error.what();
  }
  return result;
}

}  // namespace sailgate::http
