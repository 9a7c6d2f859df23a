#include "http/http_client.hpp"

#include <utility>

#include "http/client_connection.hpp"

namespace sailgate::http {
namespace {

/// Kept connections of one address.
constexpr std::size_t kMaxIdleConnections = 8;
constexpr std::size_t kMaximumErrorBody = 64U << 10U;
constexpr int kOk = 200;

/// Cuts the data of a body into lines.
class LineSplitter {
 public:
  explicit LineSplitter(const HttpClient::LineHandler& on_line) : on_line_(on_line) {}

  /// @return false when the handler breaks the stream off.
  bool take(const std::string& data) {
    rest_ += data;
    std::size_t start = 0;
    for (auto end = rest_.find('\n'); end != std::string::npos; end = rest_.find('\n', start)) {
      if (!hand_over(rest_.substr(start, end - start))) return false;
      start = end + 1;
    }
    rest_.erase(0, start);
    return true;
  }
  /// @return false when the handler breaks the stream off.
  bool finish() { return rest_.empty() || hand_over(std::exchange(rest_, {})); }

 private:
  bool hand_over(std::string line) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    return on_line_(line);
  }

  const HttpClient::LineHandler& on_line_;
  std::string rest_;
};

HttpResult exchange_whole(ClientConnection& connection, const HttpRequest& request,
                          net::TimePoint deadline) {
  std::string body;
  auto result =
      connection.exchange(request, deadline, [&body](const HttpResult&, const std::string& data) {
        body += data;
        return true;
      });
  result.response.body = std::move(body);
  return result;
}

}  // namespace

std::shared_ptr<ClientConnection> HttpClient::take_kept(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& kept = kept_[address];
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    if (connection->idle()) return connection;
  }
  return nullptr;
}

void HttpClient::keep(const std::string& address, std::shared_ptr<ClientConnection> connection) {
  if (!connection->reusable()) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& kept = kept_[address];
  if (kept.size() < kMaxIdleConnections) kept.push_back(std::move(connection));
}

HttpResult HttpClient::send(const std::string& address, const HttpRequest& request,
                            std::chrono::milliseconds timeout, bool fresh_connection) {
  const auto deadline = net::Clock::now() + timeout;
  if (const auto kept = fresh_connection ? nullptr : take_kept(address)) {
    auto result = exchange_whole(*kept, request, deadline);
    keep(address, kept);
    if (!kept->closed_unanswered()) return result;
  }
  const auto connection = std::make_shared<ClientConnection>(address);
  auto result = exchange_whole(*connection, request, deadline);
  if (!fresh_connection) keep(address, connection);
  return result;
}

HttpResult HttpClient::stream(const std::string& address, const HttpRequest& request,
                              std::chrono::milliseconds timeout, const LineHandler& on_line) {
  ClientConnection connection(address);
  LineSplitter lines(on_line);
  std::string error_body;
  auto result = connection.exchange(request, net::Clock::now() + timeout,
                                    [&](const HttpResult& head, const std::string& data) {
                                      if (head.response.status == kOk) return lines.take(data);
                                      if (error_body.size() < kMaximumErrorBody) error_body += data;
                                      return true;
                                    });
  result.response.body = std::move(error_body);
  const bool ended = result.body_complete && result.response.status == kOk;
  if (ended && !lines.finish()) result.body_complete = false;
  return result;
}

}  // namespace sailgate::http
